#ifndef LIBDECISION_MEMBERSHIP_FAILURE_BUDGET_H_
#define LIBDECISION_MEMBERSHIP_FAILURE_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Limits how many members this node declares dead within a time window.
/// Failures beyond the limit point to a network partition rather than to that
/// many dead nodes.
class failure_budget {
 public:
  /// Counts a member that this node or another one declared dead.
  void RecordFailure(instant now, std::size_t member_count) {
    Recover(now, member_count);
    recent_failures_ += 1;
  }

  /// Whether the budget allows this node to declare one more member dead.
  bool CanDeclareFailure(instant now, std::size_t member_count) {
    Recover(now, member_count);
    return recent_failures_ + 1 <= Capacity(member_count);
  }

 private:
  static constexpr double kMaxFailedFraction = 0.15;
  static constexpr double kMinCapacity = 2;
  static constexpr std::chrono::minutes kRecoveryWindow{10};

  double Capacity(std::size_t member_count) const {
    const double initial_count =
        static_cast<double>(member_count) + recent_failures_;
    return std::max(kMinCapacity, kMaxFailedFraction * initial_count);
  }

  void Recover(instant now, std::size_t member_count) {
    const std::chrono::duration<double> passed = now - last_recovery_;
    const std::chrono::duration<double> window = kRecoveryWindow;
    const double recovered =
        Capacity(member_count) * passed.count() / window.count();
    recent_failures_ = std::max(0.0, recent_failures_ - recovered);
    last_recovery_ = now;
  }

  double recent_failures_ = 0;
  instant last_recovery_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_FAILURE_BUDGET_H_
