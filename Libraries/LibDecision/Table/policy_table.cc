#include "LibDecision/Table/policy_table.h"

#include <variant>

namespace auburnfold {

void policy_table::Start(event_context& context) {
  row_watch_.Start(context);
}

void policy_table::OnStoreAnswered(event_context& context,
                                   const store_answered& answer) {
  for (const table_row& row :
       row_watch_.OnStoreAnswered(context, answer, rows_)) {
    ApplyIfNewer(context, row);
  }
  if (const auto row = editor_.OnStoreAnswered(context, answer)) {
    ApplyIfNewer(context, *row);
  }
  is_synced_ = is_synced_ || row_watch_.is_listed();
}

void policy_table::OnAdminRequested(event_context& context,
                                    const admin_requested& request) {
  if (const auto* edit = std::get_if<edit_row>(&request.request)) {
    return editor_.Begin(context, request.call, *edit);
  }
  if (const auto* history_request =
          std::get_if<read_history>(&request.request)) {
    editor_.Begin(context, request.call, *history_request);
  }
}

void policy_table::OnTimer(event_context& context, std::uint64_t key) {
  if (key == row_watch::kListTimer || key == row_watch::kWatchTimer) {
    return row_watch_.OnTimer(context, key);
  }
  editor_.OnTimer(context, key);
}

void policy_table::OnPeerDigest(std::uint64_t digest) {
  is_synced_ = is_synced_ || digest == rows_.digest();
}

void policy_table::set_watcher(event_context& context, bool is_watcher) {
  row_watch_.set_watcher(context, is_watcher);
}

bool policy_table::ApplyIfNewer(event_context& context, const table_row& row) {
  if (!rows_.ApplyIfNewer(row)) {
    const table_row* local_row = rows_.Find(row.service, row.request_class);
    if (local_row->version > row.version) {
      context.Count(counter::kOldRowsIgnored);
    }
    return false;
  }
  changed_rows_.push_back(row);
  context.Count(counter::kRowsTaken);
  return true;
}

const row_settings& policy_table::SettingsFor(
    const service_name& service,
    const class_name& request_class) const {
  static const row_settings kDefaults;
  const table_row* row = rows_.Find(service, request_class);
  if (row == nullptr || row->is_deleted) {
    return kDefaults;
  }
  return row->settings;
}

bool policy_table::has_service(const service_name& service) const {
  return rows_.has_service(service);
}

}  // namespace auburnfold
