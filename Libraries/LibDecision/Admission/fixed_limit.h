#ifndef LIBDECISION_ADMISSION_FIXED_LIMIT_H_
#define LIBDECISION_ADMISSION_FIXED_LIMIT_H_

#include <cstdint>
#include <limits>

#include "LibDecision/Admission/limit_policy.h"

namespace auburnfold {

/// Baseline: a constant limit without a queue.
class fixed_limit {
 public:
  static constexpr std::uint32_t kUnlimited =
      std::numeric_limits<std::uint32_t>::max();

  explicit fixed_limit(std::uint32_t limit) : limit_(limit) {}

  bool HasCapacity(endpoint_occupancy occupancy) const {
    return occupancy.total < limit_;
  }
  std::uint32_t limit() const { return limit_; }
  bool has_queue() const { return false; }
  bool allows_priority_excess() const { return true; }
  double OnSample(instant, const limit_sample&) { return 1; }
  void OnLimitReached(endpoint_occupancy) {}

 private:
  std::uint32_t limit_;
};
static_assert(limit_policy<fixed_limit>);

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_FIXED_LIMIT_H_
