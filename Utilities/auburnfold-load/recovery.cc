#include "auburnfold-load/recovery.h"

#include <algorithm>

namespace auburnfold {

namespace {

constexpr std::chrono::milliseconds kStep{50};
constexpr std::size_t kStepsPerWindow = 20;
constexpr double kServedShare = 0.95;

}  // namespace

void recovery_meter::Add(std::chrono::microseconds intended, bool is_useful) {
  const auto event_context = static_cast<std::size_t>(intended / kStep);
  if (event_context >= steps_.size()) {
    steps_.resize(event_context + 1);
  }
  ++steps_[event_context].sent;
  steps_[event_context].useful += is_useful ? 1 : 0;
}

std::optional<std::chrono::milliseconds> recovery_meter::RecoveryAfter(
    std::chrono::milliseconds surge_end,
    std::chrono::milliseconds run_end) const {
  const auto first = static_cast<std::size_t>(surge_end / kStep);
  const std::size_t last =
      std::min(static_cast<std::size_t>(run_end / kStep), steps_.size());
  for (std::size_t start = first; start + kStepsPerWindow <= last; ++start) {
    step_counts window;
    for (std::size_t i = start; i < start + kStepsPerWindow; ++i) {
      window.sent += steps_[i].sent;
      window.useful += steps_[i].useful;
    }
    const bool is_served = static_cast<double>(window.useful) >=
                           kServedShare * static_cast<double>(window.sent);
    if (window.sent > 0 && is_served) {
      return kStep * (start - first);
    }
  }
  return std::nullopt;
}

}  // namespace auburnfold
