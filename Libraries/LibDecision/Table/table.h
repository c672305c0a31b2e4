#ifndef LIBDECISION_TABLE_TABLE_H_
#define LIBDECISION_TABLE_TABLE_H_

#include <map>
#include <utility>

#include "LibDecision/event.h"
#include "LibDecision/step.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// This node's copy of the operators' table.
class table {
 public:
  void Start(step& now);
  void OnStoreAnswered(step& now, const store_answered& answer);
  void OnAdminRequested(step& now, const admin_requested& request);
  void OnTimer(step& now, std::uint64_t key);

  /// Takes `row` if it is newer than the copy held. Returns whether it was.
  bool Take(step& now, const table_row& row);

  /// The settings for a service and class; the defaults if there is no row.
  const row_settings& SettingsFor(const service_name& service,
                                  const class_name& request_class) const;
  /// Whether any row names the service.
  bool has_service(const service_name& service) const;

 private:
  using row_key = std::pair<service_name, class_name>;
  std::map<row_key, table_row> rows_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_TABLE_H_
