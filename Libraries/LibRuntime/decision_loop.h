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
  using executor = std::function<void(effect&)>;
  using finisher = std::function<void(const event_content&)>;

  /// `execute` is called for each effect, `finish` once all effects of an
  /// event are executed.
  decision_loop(const node_options& options, executor execute, finisher finish);

  /// An event given while another is worked on waits for it to end.
  void Feed(event_content content);

  /// The instant now, on the clock of the events.
  static instant Now();

 private:
  void Step(event_content content);

  node_state state_;
  executor execute_;
  finisher finish_;
  std::mt19937_64 random_;
  std::deque<event_content> waiting_;
  bool is_running_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_DECISION_LOOP_H_
