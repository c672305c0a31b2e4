#ifndef LIBDECISION_TABLE_POLICY_TABLE_H_
#define LIBDECISION_TABLE_POLICY_TABLE_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "LibDecision/Table/row_editor.h"
#include "LibDecision/Table/row_set.h"
#include "LibDecision/Table/row_watch.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// This node's copy of the table in which operators set the policies for each
/// service and request class.
class policy_table {
 public:
  policy_table() = default;
  policy_table(const policy_table&) = delete;
  policy_table& operator=(const policy_table&) = delete;

  void Start(event_context& context);
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  /// Handles edits and reads of a row's history; ignores other requests.
  void OnAdminRequested(event_context& context, const admin_requested& request);
  void OnTimer(event_context& context, std::uint64_t key);
  /// Handles the digest of the rows of a synced peer. An equal digest means
  /// that this node is synced, too.
  void OnPeerDigest(std::uint64_t digest);
  /// Sets whether this node watches the key-value store on behalf of others.
  void set_watcher(event_context& context, bool is_watcher);

  /// Applies `row` if it is newer than the local copy. Returns whether it was.
  bool ApplyIfNewer(event_context& context, const table_row& row);
  /// Returns the rows that changed since the last call.
  std::vector<table_row> TakeChangedRows() {
    return std::exchange(changed_rows_, {});
  }

  /// The settings for a service and request class; the defaults if there is no
  /// row.
  const row_settings& SettingsFor(const service_name& service,
                                  const class_name& request_class) const;
  /// Whether any row is for `service`. Deleted rows count.
  bool has_service(const service_name& service) const;

  const row_set& rows() const { return rows_; }
  /// Whether this node has learned the current table since its start.
  bool is_synced() const { return is_synced_; }
  /// Whether the latest list or watch of the key-value store failed.
  bool is_store_unavailable() const { return row_watch_.has_failed(); }

 private:
  row_set rows_;
  row_watch row_watch_;
  row_editor editor_{
      [this](const service_name& service, const class_name& request_class) {
        return rows_.Find(service, request_class);
      }};
  std::vector<table_row> changed_rows_;
  bool is_synced_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_POLICY_TABLE_H_
