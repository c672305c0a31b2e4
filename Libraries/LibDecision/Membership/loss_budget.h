#ifndef LIBDECISION_MEMBERSHIP_LOSS_BUDGET_H_
#define LIBDECISION_MEMBERSHIP_LOSS_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Bounds how many members may be found dead within a while. More than this
/// is rather a cut in the network than so many deaths.
class loss_budget {
 public:
  /// Counts a member found dead, here or elsewhere.
  void Note(instant now, std::size_t member_count) {
    Recover(now, member_count);
    noted_ += 1;
  }

  /// Whether one more may be found dead.
  bool is_open(instant now, std::size_t member_count) {
    Recover(now, member_count);
    return noted_ + 1 <= Capacity(member_count);
  }

 private:
  static constexpr double kShare = 0.15;
  static constexpr double kLeast = 2;
  static constexpr std::chrono::minutes kWindow{10};

  double Capacity(std::size_t member_count) const {
    const double before = static_cast<double>(member_count) + noted_;
    return std::max(kLeast, kShare * before);
  }

  void Recover(instant now, std::size_t member_count) {
    const std::chrono::duration<double> passed = now - recovered_;
    const std::chrono::duration<double> window = kWindow;
    const double recovered =
        Capacity(member_count) * passed.count() / window.count();
    noted_ = std::max(0.0, noted_ - recovered);
    recovered_ = now;
  }

  double noted_ = 0;
  instant recovered_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_LOSS_BUDGET_H_
