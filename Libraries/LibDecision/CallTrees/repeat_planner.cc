#include "LibDecision/CallTrees/repeat_planner.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace auburnfold {

namespace {

constexpr duration kWindow = std::chrono::milliseconds(100);
constexpr double kRateSmoothing = 0.4;
constexpr double kShareSmoothing = 1.0 / 64;
/// Without attempts for this long, the refusals say nothing about the present.
constexpr duration kMaxAge = std::chrono::milliseconds(700);
/// A caller whose request fails more often than it succeeds is better served by
/// a refusal at once: the request has not run, so it may be sent again.
constexpr double kMinUnassistedChance = 0.5;
constexpr double kMaxRefusedShare = 0.95;

double Seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

void repeat_planner::OnAttemptEnded(instant now, const outcome& result) {
  const bool is_refused = result.error == error_kind::kEndpointBusy;
  // Other errors say nothing about how often endpoints refuse.
  if (!is_refused && !result.is_complete()) {
    return;
  }
  if (now - attempt_ended_at_ > kMaxAge) {
    refused_share_ = 0;
  }
  attempt_ended_at_ = now;
  refused_share_ += kShareSmoothing * ((is_refused ? 1 : 0) - refused_share_);
}

void repeat_planner::OnTree(instant now,
                            rank root_rank,
                            double calls,
                            double repeat_rate) {
  AdvanceTo(now, repeat_rate);
  if (PassesLevel(root_rank, level_)) {
    arrivals_[root_rank.value / kRanksPerPriority] += calls;
  }
}

double repeat_planner::refused_share(instant now) const {
  return now - attempt_ended_at_ > kMaxAge
             ? 0
             : std::min(refused_share_, kMaxRefusedShare);
}

std::uint16_t repeat_planner::LevelFor(instant now, double calls) const {
  if (now - window_start_ > kMaxAge) {
    return 0;
  }
  const double unassisted_chance = std::pow(1 - refused_share(now), calls);
  return unassisted_chance < kMinUnassistedChance ? level_ : std::uint16_t{0};
}

void repeat_planner::AdvanceTo(instant now, double repeat_rate) {
  const duration length = now - window_start_;
  if (length < kWindow) {
    return;
  }
  for (std::size_t priority = 0; priority < kPriorities; ++priority) {
    const double passing =
        PassingFraction(static_cast<std::uint8_t>(priority), level_);
    const double rate = arrivals_[priority] / passing / Seconds(length);
    rate_[priority] += kRateSmoothing * (rate - rate_[priority]);
    arrivals_[priority] = 0;
  }
  window_start_ = now;
  UpdateLevel(now, repeat_rate);
}

void repeat_planner::UpdateLevel(instant now, double repeat_rate) {
  level_ = 0;
  const double refused = refused_share(now);
  const double repeats_per_call = refused / (1 - refused);
  double remaining = repeat_rate;
  for (std::size_t priority = kPriorities; priority-- > 0;) {
    const double needed = rate_[priority] * repeats_per_call;
    if (needed > remaining) {
      const double refused_fraction = 1 - remaining / needed;
      level_ = static_cast<std::uint16_t>(
          static_cast<double>(priority * kRanksPerPriority) +
          refused_fraction * (kRanksPerPriority - 1));
      return;
    }
    remaining -= needed;
  }
}

}  // namespace auburnfold
