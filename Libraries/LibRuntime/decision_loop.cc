#include "LibRuntime/decision_loop.h"

#include <chrono>
#include <utility>

namespace auburnfold {

decision_loop::decision_loop(const node_options& options,
                             executor execute,
                             finisher finish)
    : state_(options),
      execute_(std::move(execute)),
      finish_(std::move(finish)) {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  random_.seed(seed);
}

void decision_loop::Feed(event_content content) {
  if (is_running_) {
    waiting_.push_back(std::move(content));
    return;
  }
  is_running_ = true;
  Step(std::move(content));
  while (!waiting_.empty()) {
    event_content next = std::move(waiting_.front());
    waiting_.pop_front();
    Step(std::move(next));
  }
  is_running_ = false;
}

instant decision_loop::Now() {
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void decision_loop::Step(event_content content) {
  const event happened{Now(), random_(), std::move(content)};
  effects made = Reduce(state_, happened);
  for (effect& one : made) {
    execute_(one);
  }
  finish_(happened.content);
}

}  // namespace auburnfold
