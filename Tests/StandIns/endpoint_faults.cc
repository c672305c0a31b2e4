#include "StandIns/endpoint_faults.h"

#include "StandIns/json_fields.h"

namespace auburnfold {

namespace {

// `null` takes a fixed report back.
template <class value>
void ReadOptional(json_fields& fields,
                  std::string_view name,
                  std::optional<value>& target) {
  const boost::json::value* found = fields.Find(name);
  if (found == nullptr) {
    return;
  }
  if (found->is_null()) {
    target.reset();
    return;
  }
  value read{};
  fields.Read(name, read);
  target = read;
}

}  // namespace

void ChangeFaults(endpoint_faults& faults, const boost::json::object& change) {
  endpoint_faults changed = faults;
  json_fields fields(change);
  fields.Read("sheds", changed.sheds);
  fields.Read("leaves", changed.leaves);
  fields.Read("is_unannounced", changed.is_unannounced);
  fields.Read("slow_factor", changed.slow_factor);
  ReadOptional(fields, "fixed_load", changed.fixed_load);
  ReadOptional(fields, "fixed_healthy", changed.fixed_healthy);
  fields.Read("truncate_next", changed.truncate_next);
  fields.Read("lose_next", changed.lose_next);
  fields.Read("crash_on_body", changed.crash_on_body);
  fields.Read("silence_share", changed.silence_share);
  fields.RefuseOthers();
  faults = changed;
}

}  // namespace auburnfold
