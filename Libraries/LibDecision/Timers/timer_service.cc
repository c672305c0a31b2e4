#include "LibDecision/Timers/timer_service.h"

namespace auburnfold {

void timer_service::Schedule(timer_id timer, instant when) {
  Cancel(timer);
  by_id_[timer] = queue_.emplace(when, timer);
}

void timer_service::Cancel(timer_id timer) {
  const auto pending = by_id_.find(timer);
  if (pending == by_id_.end()) {
    return;
  }
  queue_.erase(pending->second);
  by_id_.erase(pending);
}

std::optional<timer_id> timer_service::PopDue(instant now) {
  if (queue_.empty() || queue_.begin()->first > now) {
    return std::nullopt;
  }
  const timer_id due = queue_.begin()->second;
  Cancel(due);
  return due;
}

std::optional<instant> timer_service::next_due() const {
  if (queue_.empty()) {
    return std::nullopt;
  }
  return queue_.begin()->first;
}

}  // namespace auburnfold
