#ifndef LIBDECISION_EVENT_CONTEXT_H_
#define LIBDECISION_EVENT_CONTEXT_H_

#include <cstdint>
#include <utility>

#include "LibDecision/Timers/timer_service.h"
#include "LibDecision/effect.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The time, randomness and timers that the parts of the reducer use while they
/// handle one event, and the effects that they produce.
class event_context {
 public:
  event_context(instant now,
                std::uint64_t entropy,
                timer_service& timers,
                duration suspended = {})
      : now_(now), entropy_(entropy), timers_(timers), suspended_(suspended) {}

  instant now() const { return now_; }
  /// `now` on a clock that also counts the time that the machine was suspended.
  instant elapsed_now() const { return now_ + suspended_; }
  timer_service& timers() { return timers_; }

  /// The next pseudorandom number, derived from the event's entropy.
  std::uint64_t Random();
  /// A pseudorandom number in [0, bound); 0 if `bound` is 0.
  std::uint64_t RandomBelow(std::uint64_t bound);
  /// A pseudorandom number in [0, 1).
  double RandomFraction();

  void Emit(effect emitted) { effects_.push_back(std::move(emitted)); }
  void Log(decision_record record) { Emit(log_decision{std::move(record)}); }
  void Count(counter which, std::uint64_t amount = 1) {
    Emit(increment_counter{which, amount});
  }

  effects TakeEffects() { return std::move(effects_); }

 private:
  instant now_;
  std::uint64_t entropy_;
  timer_service& timers_;
  duration suspended_;
  effects effects_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_EVENT_CONTEXT_H_
