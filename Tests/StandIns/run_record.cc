#include "StandIns/run_record.h"

#include <algorithm>

namespace auburnfold {

namespace {

constexpr std::size_t kMostNames = 400'000;

std::size_t StartedAgain(
    const std::unordered_map<std::string, run_counts>& names) {
  return static_cast<std::size_t>(
      std::count_if(names.begin(), names.end(),
                    [](const auto& each) { return each.second.started > 1; }));
}

boost::json::object Listed(
    const std::unordered_map<std::string, run_counts>& names) {
  boost::json::object list;
  for (const auto& [name, counts] : names) {
    list[name] = {{"started", counts.started},
                  {"finished", counts.finished},
                  {"answered", counts.answered}};
  }
  return list;
}

}  // namespace

template <class change>
void run_record::Change(const std::string& request,
                        const std::string& key,
                        const change& apply) {
  apply(totals_);
  const auto change_one = [&](counts_by_name& names, const std::string& name) {
    if (name.empty()) {
      return;
    }
    if (names.size() >= kMostNames && !names.contains(name)) {
      ++unrecorded_;
      return;
    }
    apply(names[name]);
  };
  change_one(by_request_, request);
  change_one(by_key_, key);
}

void run_record::OnStarted(const std::string& request, const std::string& key) {
  Change(request, key, [](run_counts& counts) { ++counts.started; });
}

void run_record::OnFinished(const std::string& request,
                            const std::string& key) {
  Change(request, key, [](run_counts& counts) { ++counts.finished; });
}

void run_record::OnAnswered(const std::string& request,
                            const std::string& key) {
  Change(request, key, [](run_counts& counts) { ++counts.answered; });
}

boost::json::object run_record::Summary() const {
  return {{"started", totals_.started},
          {"finished", totals_.finished},
          {"answered", totals_.answered},
          {"shed", shed_},
          {"cancelled", cancelled_},
          {"expired", expired_},
          {"new_work_while_leaving", new_work_while_leaving_},
          {"unrecorded", unrecorded_},
          {"requests", by_request_.size()},
          {"requests_started_again", StartedAgain(by_request_)},
          {"keys", by_key_.size()},
          {"keys_started_again", StartedAgain(by_key_)}};
}

boost::json::object run_record::Whole() const {
  boost::json::object record = Summary();
  record["by_request"] = Listed(by_request_);
  record["by_key"] = Listed(by_key_);
  return record;
}

}  // namespace auburnfold
