#ifndef LIBDECISION_MEMBERSHIP_BYTE_BUDGET_H_
#define LIBDECISION_MEMBERSHIP_BYTE_BUDGET_H_

#include <cstdint>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Bounds the bytes sent over time (a token bucket). One large message may
/// overdraw it; the next then waits until that is paid back.
class byte_budget {
 public:
  byte_budget(double bytes_per_second, double burst_bytes)
      : rate_(bytes_per_second), burst_(burst_bytes), left_(burst_bytes) {}

  /// Whether something may be sent now.
  bool is_open(instant now) {
    Refill(now);
    return left_ > 0;
  }

  void Spend(std::uint64_t bytes) { left_ -= static_cast<double>(bytes); }

 private:
  void Refill(instant now) {
    const std::chrono::duration<double> passed = now - refilled_;
    refilled_ = now;
    left_ += passed.count() * rate_;
    left_ = left_ < burst_ ? left_ : burst_;
  }

  double rate_;
  double burst_;
  double left_;
  instant refilled_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_BYTE_BUDGET_H_
