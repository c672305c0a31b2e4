#ifndef LIBDECISION_TABLE_TABLE_H_
#define LIBDECISION_TABLE_TABLE_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "LibDecision/Table/row_edits.h"
#include "LibDecision/Table/row_set.h"
#include "LibDecision/Table/row_watch.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// This node's copy of the operators' table.
class table {
 public:
  table() = default;
  table(const table&) = delete;
  table& operator=(const table&) = delete;

  void Start(event_context& context);
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  /// Takes edits and questions for a row's history.
  void OnAdminRequested(event_context& context, const admin_requested& request);
  void OnTimer(event_context& context, std::uint64_t key);
  /// A peer that is in sync has told the digest of its rows.
  void OnPeerDigest(std::uint64_t digest);
  /// Whether this node watches the key-value service for others.
  void set_watcher(event_context& context, bool is_watcher);

  /// Takes `row` if it is newer than the copy held. Returns whether it was.
  bool Take(event_context& context, const table_row& row);
  /// The rows taken since the last call.
  std::vector<table_row> TakeChanged() { return std::exchange(changed_, {}); }

  /// The settings for a service and class; the defaults if there is no row.
  const row_settings& SettingsFor(const service_name& service,
                                  const class_name& request_class) const;
  /// Whether any row names the service.
  bool has_service(const service_name& service) const;

  const row_set& rows() const { return rows_; }
  /// The newest table was learned since the start.
  bool is_synced() const { return is_synced_; }
  /// The key-value service did not answer this node's first questions.
  bool is_store_unavailable() const { return watch_.has_failed(); }

 private:
  row_set rows_;
  row_watch watch_;
  row_edits edits_{
      [this](const service_name& service, const class_name& request_class) {
        return rows_.Find(service, request_class);
      }};
  std::vector<table_row> changed_;
  bool is_synced_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_TABLE_H_
