#include "LibDecision/Work/active_senders.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

/// Longer than the longest interval at which a sender is told to send.
constexpr duration kActiveTime = std::chrono::seconds(5);
constexpr duration kRemovalInterval = std::chrono::seconds(1);

}  // namespace

void active_senders::OnArrived(instant now, node_id from) {
  last_arrival_[from] = now;
  if (now < next_removal_) {
    return;
  }
  next_removal_ = now + kRemovalInterval;
  std::erase_if(last_arrival_, [now](const auto& sender) {
    return now - sender.second >= kActiveTime;
  });
}

std::size_t active_senders::Count(instant now) const {
  const auto active = std::count_if(
      last_arrival_.begin(), last_arrival_.end(),
      [now](const auto& sender) { return now - sender.second < kActiveTime; });
  return std::max<std::size_t>(static_cast<std::size_t>(active), 1);
}

}  // namespace auburnfold
