#include "LibDecision/CallTrees/call_tree_planner.h"

#include <algorithm>

namespace auburnfold {

namespace {

constexpr std::size_t kMaxEntries = 1024;
/// Nodes differ slightly in their levels. A tree that the entry has admitted by
/// another node's level keeps its repeats.
constexpr std::uint16_t kLevelTolerance = kRanksPerPriority / 10;

}  // namespace

void call_tree_planner::OnCall(instant now,
                               work_id parent,
                               const class_name& parent_class,
                               const service_name& called,
                               rank root_rank,
                               double repeat_rate) {
  if (!needs_.OnCall(parent, called)) {
    return;
  }
  const bool is_full =
      planners_.size() >= kMaxEntries || called_by_class_.size() >= kMaxEntries;
  if (is_full) {
    planners_.clear();
    called_by_class_.clear();
  }
  std::vector<service_name>& services = called_by_class_[parent_class];
  if (std::find(services.begin(), services.end(), called) == services.end()) {
    services.push_back(called);
  }
  planners_[called].OnTree(now, root_rank, needs_.CallsOf(parent_class, called),
                           repeat_rate);
}

void call_tree_planner::OnAttemptEnded(instant now,
                                       const service_name& called,
                                       const outcome& result) {
  const auto found = planners_.find(called);
  if (found != planners_.end()) {
    found->second.OnAttemptEnded(now, result);
  }
}

tree_level call_tree_planner::LevelFor(instant now,
                                       const class_name& request_class) const {
  const auto found = called_by_class_.find(request_class);
  if (found == called_by_class_.end()) {
    return {};
  }
  tree_level highest;
  for (const service_name& called : found->second) {
    const std::uint16_t level = planners_.at(called).LevelFor(
        now, needs_.CallsOf(request_class, called));
    if (level > highest.level) {
      highest = {level, called};
    }
  }
  return highest;
}

bool call_tree_planner::IsBeyondBudget(instant now,
                                       const class_name& parent_class,
                                       const service_name& called,
                                       rank root_rank) const {
  const auto found = planners_.find(called);
  if (found == planners_.end()) {
    return false;
  }
  const std::uint16_t level =
      found->second.LevelFor(now, needs_.CallsOf(parent_class, called));
  return level > kLevelTolerance &&
         !PassesLevel(root_rank,
                      static_cast<std::uint16_t>(level - kLevelTolerance));
}

}  // namespace auburnfold
