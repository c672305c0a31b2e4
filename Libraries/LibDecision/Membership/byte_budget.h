#ifndef LIBDECISION_MEMBERSHIP_BYTE_BUDGET_H_
#define LIBDECISION_MEMBERSHIP_BYTE_BUDGET_H_

#include <cstdint>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Token bucket that limits the bytes sent over time. A large message may
/// overdraw it; the next message then waits until the balance is positive.
class byte_budget {
 public:
  byte_budget(double bytes_per_second, double burst_bytes)
      : bytes_per_second_(bytes_per_second),
        burst_bytes_(burst_bytes),
        available_bytes_(burst_bytes) {}

  /// Whether a message of any size may be sent now.
  bool CanSend(instant now) {
    Refill(now);
    return available_bytes_ > 0;
  }

  void Spend(std::uint64_t bytes) {
    available_bytes_ -= static_cast<double>(bytes);
  }

 private:
  void Refill(instant now) {
    const std::chrono::duration<double> elapsed = now - last_refill_;
    last_refill_ = now;
    available_bytes_ += elapsed.count() * bytes_per_second_;
    available_bytes_ =
        available_bytes_ < burst_bytes_ ? available_bytes_ : burst_bytes_;
  }

  double bytes_per_second_;
  double burst_bytes_;
  double available_bytes_;
  instant last_refill_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_BYTE_BUDGET_H_
