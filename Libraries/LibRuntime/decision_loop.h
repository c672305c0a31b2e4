#ifndef LIBRUNTIME_DECISION_LOOP_H_
#define LIBRUNTIME_DECISION_LOOP_H_

#include <deque>
#include <functional>
#include <random>

#include "LibDecision/reducer.h"

namespace auburnfold {

/// Passes events to the reducer one at a time, with the current time and a
/// random number, and executes the resulting effects in order.
class decision_loop {
 public:
  using effect_executor = std::function<void(effect&)>;
  using event_completion_handler = std::function<void(const event_content&)>;

  /// `execute` is called for each effect, and `on_completed` after all effects
  /// of an event. An exception of either ends the process.
  decision_loop(const node_options& options,
                effect_executor execute,
                event_completion_handler on_completed);

  /// Processes an event. An event that is dispatched while another is being
  /// processed is queued.
  void Dispatch(event_content content);

  /// The current time on the clock that events use.
  static instant Now();

 private:
  void ProcessEvent(event_content content) noexcept;

  node_state state_;
  effect_executor execute_;
  event_completion_handler on_completed_;
  std::mt19937_64 random_;
  std::deque<event_content> queue_;
  bool is_processing_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_DECISION_LOOP_H_
