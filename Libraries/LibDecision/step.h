#ifndef LIBDECISION_STEP_H_
#define LIBDECISION_STEP_H_

#include <cstdint>
#include <utility>

#include "LibDecision/Timers/timer_service.h"
#include "LibDecision/effect.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// What a part of the reducer may use while it handles one event.
class step {
 public:
  step(instant now, std::uint64_t entropy, timer_service& timers)
      : now_(now), entropy_(entropy), timers_(timers) {}

  instant now() const { return now_; }
  timer_service& timers() { return timers_; }

  /// The next pseudo-random number derived from the event's entropy.
  std::uint64_t Random();
  /// A pseudo-random number in [0, bound); 0 if `bound` is 0.
  std::uint64_t RandomBelow(std::uint64_t bound);
  /// A pseudo-random share in [0, 1).
  double RandomShare();

  void Emit(effect made) { made_.push_back(std::move(made)); }
  void Log(decision_record record) { Emit(log_decision{std::move(record)}); }
  void Count(counter which, std::uint64_t amount = 1) {
    Emit(add_count{which, amount});
  }

  effects TakeEffects() { return std::move(made_); }

 private:
  instant now_;
  std::uint64_t entropy_;
  timer_service& timers_;
  effects made_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STEP_H_
