#include "LibDecision/Table/table.h"

#include <variant>

namespace auburnfold {

void table::Start(event_context& context) {
  watch_.Start(context);
}

void table::OnStoreAnswered(event_context& context,
                            const store_answered& answer) {
  for (const table_row& row : watch_.OnStoreAnswered(context, answer, rows_)) {
    Take(context, row);
  }
  if (const auto row = edits_.OnStoreAnswered(context, answer)) {
    Take(context, *row);
  }
  is_synced_ = is_synced_ || watch_.is_listed();
}

void table::OnAdminRequested(event_context& context,
                             const admin_requested& request) {
  if (const auto* edit = std::get_if<edit_row>(&request.request)) {
    return edits_.Begin(context, request.call, *edit);
  }
  if (const auto* wanted = std::get_if<read_history>(&request.request)) {
    edits_.Begin(context, request.call, *wanted);
  }
}

void table::OnTimer(event_context& context, std::uint64_t key) {
  if (key == row_watch::kListTimer || key == row_watch::kWatchTimer) {
    return watch_.OnTimer(context, key);
  }
  edits_.OnTimer(context, key);
}

void table::OnPeerDigest(std::uint64_t digest) {
  is_synced_ = is_synced_ || digest == rows_.digest();
}

void table::set_watcher(event_context& context, bool is_watcher) {
  watch_.set_watcher(context, is_watcher);
}

bool table::Take(event_context& context, const table_row& row) {
  if (!rows_.Take(row)) {
    const table_row* own = rows_.Find(row.service, row.request_class);
    if (own->version > row.version) {
      context.Count(counter::kOldRowsIgnored);
    }
    return false;
  }
  changed_.push_back(row);
  context.Count(counter::kRowsTaken);
  return true;
}

const row_settings& table::SettingsFor(const service_name& service,
                                       const class_name& request_class) const {
  static const row_settings kDefaults;
  const table_row* row = rows_.Find(service, request_class);
  if (row == nullptr || row->is_deleted) {
    return kDefaults;
  }
  return row->settings;
}

bool table::has_service(const service_name& service) const {
  return rows_.has_service(service);
}

}  // namespace auburnfold
