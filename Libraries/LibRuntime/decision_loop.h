#ifndef LIBRUNTIME_DECISION_LOOP_H_
#define LIBRUNTIME_DECISION_LOOP_H_

#include <deque>
#include <functional>
#include <random>

#include "LibDecision/reducer.h"

namespace auburnfold {

/// Gives the reducer one event after the other, with time and randomness, and
/// has its effects executed in order.
class decision_loop {
 public:
  using effect_executor = std::function<void(effect&)>;
  using event_completion_handler = std::function<void(const event_content&)>;

  /// `execute` is called for each effect, `on_completed` once all effects of an
  /// event are executed.
  decision_loop(const node_options& options,
                effect_executor execute,
                event_completion_handler on_completed);

  /// An event given while another is worked on waits for it to end.
  void Dispatch(event_content content);

  /// The instant now, on the clock of the events.
  static instant Now();

 private:
  void ProcessEvent(event_content content);

  node_state state_;
  effect_executor execute_;
  event_completion_handler on_completed_;
  std::mt19937_64 random_;
  std::deque<event_content> queue_;
  bool is_processing_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_DECISION_LOOP_H_
