#include "LibRuntime/decision_loop.h"

#include <chrono>
#include <ctime>
#include <utility>

namespace auburnfold {

namespace {

// Counts the time that the machine was suspended, unlike the steady clock.
duration TimeSinceBoot() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

decision_loop::decision_loop(const node_options& options,
                             effect_executor execute,
                             event_completion_handler on_completed)
    : state_(options),
      execute_(std::move(execute)),
      on_completed_(std::move(on_completed)) {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  random_.seed(seed);
}

void decision_loop::Dispatch(event_content content) {
  if (is_processing_) {
    queue_.push_back(std::move(content));
    return;
  }
  is_processing_ = true;
  ProcessEvent(std::move(content));
  while (!queue_.empty()) {
    event_content next = std::move(queue_.front());
    queue_.pop_front();
    ProcessEvent(std::move(next));
  }
  is_processing_ = false;
}

instant decision_loop::Now() {
  return instant(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

// Ends the process if the reducer or the end of an event throws: the state may
// be half changed, and a node that goes on would be ready but handle nothing.
void decision_loop::ProcessEvent(event_content content) noexcept {
  // Read first, so that the sum of both never exceeds the time since boot.
  const duration since_boot = TimeSinceBoot();
  const instant now = Now();
  const event current{now, random_(), std::move(content),
                      since_boot - now.time_since_epoch()};
  effects produced = Reduce(state_, current);
  for (effect& next_effect : produced) {
    execute_(next_effect);
  }
  on_completed_(current.content);
}

}  // namespace auburnfold
