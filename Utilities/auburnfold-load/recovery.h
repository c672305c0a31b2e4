#ifndef AUBURNFOLD_LOAD_RECOVERY_H_
#define AUBURNFOLD_LOAD_RECOVERY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace auburnfold {

/// Demand and useful answers by the time of the intended send.
class recovery_meter {
 public:
  void Add(std::chrono::microseconds intended, bool is_useful);

  /// From `surge_end` to the first instant from which at least 0.95 of the
  /// demand of a whole second is served, in steps of 50 ms. Nothing if no
  /// such second lies before `run_end`.
  std::optional<std::chrono::milliseconds> RecoveryAfter(
      std::chrono::milliseconds surge_end,
      std::chrono::milliseconds run_end) const;

 private:
  struct step_counts {
    std::uint64_t sent = 0;
    std::uint64_t useful = 0;
  };

  std::vector<step_counts> steps_;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_RECOVERY_H_
