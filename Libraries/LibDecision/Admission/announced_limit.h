#ifndef LIBDECISION_ADMISSION_ANNOUNCED_LIMIT_H_
#define LIBDECISION_ADMISSION_ANNOUNCED_LIMIT_H_

#include <cstdint>

#include "LibDecision/Admission/limit_policy.h"

namespace auburnfold {

/// A concurrency limit for endpoints that announce how many slots they have.
///
/// Keeps excess requests in the node's queue, where priorities apply, instead
/// of in the endpoint's own queue. An endpoint that refuses requests near the
/// limit may have fewer slots than it announces, so the limit is cut as long as
/// cuts reduce refusals. If the endpoint refuses requests while slots are free,
/// or still does at half of its slots, the cause is another one and the limit
/// is not cut.
class announced_limit {
 public:
  /// `slots` is 0 if the endpoint does not announce a number; requests are not
  /// limited then.
  void SetSlots(std::uint32_t slots);

  bool HasCapacity(endpoint_occupancy occupancy) const {
    return occupancy.total < limit();
  }
  std::uint32_t limit() const;
  bool has_queue() const { return true; }
  /// Requests in excess of the slots would only wait in the endpoint's queue.
  bool allows_priority_excess() const { return false; }
  double OnSample(instant now, const limit_sample& sample);
  void OnLimitReached(endpoint_occupancy) {}

 private:
  void OnRefused(instant now, const limit_sample& sample);

  std::uint32_t slots_ = 0;
  /// Current limit, at most the usable fraction of the slots.
  double limit_ = 0;
  instant last_cut_ = instant::min();
  instant refusals_ignored_until_ = instant::min();
};
static_assert(limit_policy<announced_limit>);

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_ANNOUNCED_LIMIT_H_
