#include "auburnfold-load/load_report.h"

namespace auburnfold {

namespace {

std::vector<surge_window> SurgesOf(const load_plan& plan) {
  std::vector<surge_window> surges;
  std::chrono::milliseconds end{0};
  for (const load_phase& phase : plan.phases) {
    if (phase.is_surge && !surges.empty()) {
      surges.back().until = end;
    }
    end += phase.length;
    if (phase.is_surge) {
      surges.push_back({phase.name, end, end});
    }
  }
  if (!surges.empty()) {
    surges.back().until = end;
  }
  return surges;
}

}  // namespace

load_report::load_report(const load_plan& plan)
    : plan_(plan), surges_(SurgesOf(plan)) {
  const std::size_t classes = plan.classes.size();
  node_.by_class.resize(classes);
  direct_.by_class.resize(classes);
  by_phase_.assign(plan.phases.size(), tallies(classes));
  recovery_by_class_.resize(classes);
}

void load_report::OnFinished(const finished_call& call) {
  by_phase_[call.phase_index][call.class_index].Add(call);
  const auto second = static_cast<std::size_t>(
      std::chrono::duration_cast<std::chrono::seconds>(call.intended).count());
  if (second >= by_second_.size()) {
    by_second_.resize(second + 1, tallies(plan_.classes.size()));
  }
  by_second_[second][call.class_index].Add(call);
  const load_path path = plan_.phases[call.phase_index].path;
  path_tallies& counted = path == load_path::kNode ? node_ : direct_;
  counted.total.Add(call);
  counted.by_class[call.class_index].Add(call);
  const bool is_useful = call.outcome == call_outcome::kUseful;
  recovery_.Add(call.intended, is_useful);
  recovery_by_class_[call.class_index].Add(call.intended, is_useful);
}

const load_report::path_tallies& load_report::of_path(load_path path) const {
  switch (path) {
    case load_path::kNode:
      return node_;
    case load_path::kDirect:
      return direct_;
  }
  return node_;
}

const call_tally& load_report::total(load_path path) const {
  return of_path(path).total;
}

const call_tally& load_report::of_class(std::size_t class_index,
                                        load_path path) const {
  return of_path(path).by_class[class_index];
}

const call_tally& load_report::of_phase(std::size_t phase,
                                        std::size_t class_index) const {
  return by_phase_[phase][class_index];
}

const call_tally& load_report::of_second(std::size_t second,
                                         std::size_t class_index) const {
  return by_second_[second][class_index];
}

std::optional<std::chrono::milliseconds> load_report::Recovery(
    const surge_window& surge) const {
  return recovery_.RecoveryAfter(surge.end, surge.until);
}

std::optional<std::chrono::milliseconds> load_report::Recovery(
    const surge_window& surge,
    std::size_t class_index) const {
  return recovery_by_class_[class_index].RecoveryAfter(surge.end, surge.until);
}

}  // namespace auburnfold
