#ifndef LIBDECISION_ADMISSION_ANNOUNCED_LIMIT_H_
#define LIBDECISION_ADMISSION_ANNOUNCED_LIMIT_H_

#include <cstdint>

#include "LibDecision/Admission/limit_policy.h"

namespace auburnfold {

/// A limit for endpoints that announce how many requests they run at once.
///
/// Answers a full endpoint: what does not fit waits in front of it, in the
/// node's order, and not in the endpoint's own queue. An endpoint that turns
/// requests away near the limit may have fewer slots than it says, so the limit
/// is cut as long as that helps. One that does so with slots to spare, or at
/// half of them as well, fails for another reason, and the limit stays.
class announced_limit {
 public:
  /// 0 if the endpoint does not say; nothing is held back then.
  void SetSlots(std::uint32_t slots);

  bool HasRoom(endpoint_occupancy occupancy) const {
    return occupancy.total < limit();
  }
  std::uint32_t limit() const;
  bool has_queue() const { return true; }
  /// The endpoint would only queue what goes over its slots.
  bool lets_important_over() const { return false; }
  double OnSample(instant now, const limit_sample& sample);
  void OnLimited(endpoint_occupancy) {}

 private:
  void OnRefused(instant now, const limit_sample& sample);

  std::uint32_t slots_ = 0;
  /// Requests that may run at once, below or at what the slots allow.
  double usable_ = 0;
  instant cut_at_ = instant::min();
  instant refusals_ignored_until_ = instant::min();
};
static_assert(limit_policy<announced_limit>);

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_ANNOUNCED_LIMIT_H_
