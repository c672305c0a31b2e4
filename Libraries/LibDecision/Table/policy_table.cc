#include "LibDecision/Table/policy_table.h"

#include <variant>

namespace auburnfold {

void policy_table::Start(step& now) {
  row_watch_.Start(now);
}

void policy_table::OnStoreAnswered(step& now, const store_answered& answer) {
  for (const table_row& row : row_watch_.OnStoreAnswered(now, answer, rows_)) {
    ApplyIfNewer(now, row);
  }
  if (const auto row = editor_.OnStoreAnswered(now, answer)) {
    ApplyIfNewer(now, *row);
  }
  is_synced_ = is_synced_ || row_watch_.is_listed();
}

void policy_table::OnAdminRequested(step& now, const admin_requested& request) {
  if (const auto* edit = std::get_if<edit_row>(&request.request)) {
    return editor_.Begin(now, request.call, *edit);
  }
  if (const auto* history_request =
          std::get_if<read_history>(&request.request)) {
    editor_.Begin(now, request.call, *history_request);
  }
}

void policy_table::OnTimer(step& now, std::uint64_t key) {
  if (key == row_watch::kListTimer || key == row_watch::kWatchTimer) {
    return row_watch_.OnTimer(now, key);
  }
  editor_.OnTimer(now, key);
}

void policy_table::OnPeerDigest(std::uint64_t digest) {
  is_synced_ = is_synced_ || digest == rows_.digest();
}

void policy_table::set_watcher(step& now, bool is_watcher) {
  row_watch_.set_watcher(now, is_watcher);
}

bool policy_table::ApplyIfNewer(step& now, const table_row& row) {
  if (!rows_.ApplyIfNewer(row)) {
    const table_row* local_row = rows_.Find(row.service, row.request_class);
    if (local_row->version > row.version) {
      now.Count(counter::kOldRowsIgnored);
    }
    return false;
  }
  changed_rows_.push_back(row);
  now.Count(counter::kRowsTaken);
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
