#ifndef LIBDECISION_CALLTREES_CALL_TREE_PLANNER_H_
#define LIBDECISION_CALLTREES_CALL_TREE_PLANNER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibDecision/CallTrees/repeat_planner.h"
#include "LibDecision/CallTrees/tree_needs.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// The level below which trees cannot finish, and the service that causes it.
struct tree_level {
  std::uint16_t level = 0;
  service_name service;
};

/// Determines which call trees that pass through the local endpoint can finish
/// their calls to other services. The level travels up with answers, so that
/// the entry refuses the other root requests before anything runs for them.
class call_tree_planner {
 public:
  /// Work of `parent_class` calls `called`; see `repeat_planner::OnTree`.
  void OnCall(instant now,
              work_id parent,
              const class_name& parent_class,
              const service_name& called,
              rank root_rank,
              double repeat_rate);
  void OnAttemptEnded(instant now,
                      const service_name& called,
                      const outcome& result);
  void OnCallAnswered(work_id parent, const service_name& called) {
    needs_.OnCallAnswered(parent, called);
  }
  void OnWorkAnswered(work_id work, const class_name& request_class) {
    needs_.OnAnswered(work, request_class);
  }
  void OnWorkClosed(work_id work) { needs_.OnClosed(work); }

  /// Highest level of the services that requests of `request_class` call.
  tree_level LevelFor(instant now, const class_name& request_class) const;
  /// Whether calls to `called` for a root of this rank get no repeats, since
  /// the trees above it need all of them.
  bool IsBeyondBudget(instant now,
                      const class_name& parent_class,
                      const service_name& called,
                      rank root_rank) const;

 private:
  tree_needs needs_;
  std::unordered_map<service_name, repeat_planner> planners_;
  /// Services that requests of each class call.
  std::unordered_map<class_name, std::vector<service_name>> called_by_class_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLTREES_CALL_TREE_PLANNER_H_
