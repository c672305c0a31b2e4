#include "LibDecision/Timers/timer_service.h"

namespace auburnfold {

void timer_service::Subscribe(timer_subscription subscription, instant when) {
  Cancel(subscription);
  by_subscription_[subscription] = queue_.emplace(when, subscription);
}

void timer_service::Cancel(timer_subscription subscription) {
  const auto pending = by_subscription_.find(subscription);
  if (pending == by_subscription_.end()) {
    return;
  }
  queue_.erase(pending->second);
  by_subscription_.erase(pending);
}

std::optional<timer_subscription> timer_service::TakeDue(instant now) {
  if (queue_.empty() || queue_.begin()->first > now) {
    return std::nullopt;
  }
  const timer_subscription due = queue_.begin()->second;
  Cancel(due);
  return due;
}

std::optional<instant> timer_service::next() const {
  if (queue_.empty()) {
    return std::nullopt;
  }
  return queue_.begin()->first;
}

}  // namespace auburnfold
