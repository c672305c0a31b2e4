#include "LibDecision/Table/table.h"

namespace auburnfold {

void table::Start(step&) {}

void table::OnStoreAnswered(step&, const store_answered&) {}

// FIXME: Edits are not yet written to the key-value service.
void table::OnAdminRequested(step& now, const admin_requested& request) {
  now.Emit(answer_admin{request.call,
                        {.status = admin_status::kStoreUnavailable,
                         .reason = "the table cannot be edited yet"}});
}

void table::OnTimer(step&, std::uint64_t) {}

bool table::Take(step& now, const table_row& row) {
  const row_key key{row.service, row.request_class};
  const auto found = rows_.find(key);
  if (found != rows_.end() && found->second.version >= row.version) {
    now.Count(counter::kOldRowsIgnored);
    return false;
  }
  rows_.insert_or_assign(key, row);
  now.Count(counter::kRowsTaken);
  return true;
}

const row_settings& table::SettingsFor(const service_name& service,
                                       const class_name& request_class) const {
  static const row_settings kDefaults;
  const auto found = rows_.find({service, request_class});
  if (found == rows_.end() || found->second.is_deleted) {
    return kDefaults;
  }
  return found->second.settings;
}

bool table::has_service(const service_name& service) const {
  const auto first = rows_.lower_bound({service, class_name()});
  return first != rows_.end() && first->first.first == service;
}

}  // namespace auburnfold
