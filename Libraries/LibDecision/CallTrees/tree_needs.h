#ifndef LIBDECISION_CALLTREES_TREE_NEEDS_H_
#define LIBDECISION_CALLTREES_TREE_NEEDS_H_

#include <unordered_map>
#include <vector>

#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// Learns how many calls to each service one request of a class makes, from the
/// requests that were answered.
///
/// Load pattern: a request makes several calls to one service, one after the
/// other, so that the chance of all of them counts and not that of one.
class tree_needs {
 public:
  /// Records a call that `work` makes. Returns whether it is the first one to
  /// the service.
  bool OnCall(work_id work, const service_name& called);
  /// The call to `called` got a useful answer.
  void OnCallAnswered(work_id work, const service_name& called);
  /// `work` itself got a useful answer.
  void OnAnswered(work_id work, const class_name& request_class);
  void OnClosed(work_id work) { open_.erase(work); }

  /// Mean number of calls to the service that a request of `parent_class`
  /// makes; 1 while it is not known.
  double CallsOf(const class_name& parent_class,
                 const service_name& called) const;

 private:
  struct call_count {
    service_name called;
    std::uint32_t answered = 0;
  };

  std::unordered_map<work_id, std::vector<call_count>> open_;
  std::unordered_map<service_class, double, service_class_hash> means_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLTREES_TREE_NEEDS_H_
