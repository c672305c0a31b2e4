#include "StandIns/store_faults.h"

#include <stdexcept>

#include "StandIns/json_fields.h"

namespace auburnfold {

namespace {

store_outage OutageNamed(const std::string& name) {
  if (name == "none") {
    return store_outage::kNone;
  }
  if (name == "closes") {
    return store_outage::kCloses;
  }
  if (name == "hangs") {
    return store_outage::kHangs;
  }
  throw std::runtime_error("outage: is not none, closes or hangs");
}

}  // namespace

void ChangeFaults(store_faults& faults, const boost::json::object& change) {
  store_faults changed = faults;
  json_fields fields(change);
  std::string outage;
  fields.Read("outage", outage);
  if (!outage.empty()) {
    changed.outage = OutageNamed(outage);
  }
  fields.Read("delay_ms", changed.delay_ms);
  fields.Read("lose_answers", changed.lose_answers);
  fields.Read("save_snapshot", changed.save_snapshot);
  fields.Read("restore_snapshot", changed.restore_snapshot);
  fields.RefuseOthers();
  faults = changed;
}

}  // namespace auburnfold
