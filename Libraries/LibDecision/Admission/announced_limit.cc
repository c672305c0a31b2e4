#include "LibDecision/Admission/announced_limit.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace auburnfold {

namespace {

// Endpoints slow down when nearly all of their slots are in use.
constexpr double kUsableFraction = 0.95;
// Applied after the endpoint refused a request because its slots were full.
constexpr double kRefusalCutFactor = 0.9;
/// A refusal indicates full slots only if at least this fraction of the limit
/// is in use.
constexpr double kNearLimitFraction = 0.8;
/// Fraction of the slots by which the limit grows with each answer.
constexpr double kGrowthFraction = 0.002;
/// An endpoint with fewer slots than this fraction of the announced number
/// cannot be told from one that refuses requests at random.
constexpr double kMinLimitFraction = 0.5;
/// How long refusals are ignored after cuts did not end them; the endpoint
/// reports its slots a few times in this period.
constexpr duration kRefusalIgnorePeriod = std::chrono::seconds(5);

double MaxLimit(std::uint32_t slots) {
  return std::max(1.0, static_cast<double>(slots) * kUsableFraction);
}

}  // namespace

void announced_limit::SetSlots(std::uint32_t slots) {
  if (slots == slots_) {
    return;
  }
  slots_ = slots;
  limit_ = MaxLimit(slots);
}

std::uint32_t announced_limit::limit() const {
  return slots_ == 0 ? std::numeric_limits<std::uint32_t>::max()
                     : static_cast<std::uint32_t>(limit_);
}

double announced_limit::OnSample(instant now, const limit_sample& sample) {
  if (slots_ == 0) {
    return 1;
  }
  if (sample.is_refused) {
    OnRefused(now, sample);
  } else {
    limit_ = std::min(MaxLimit(slots_), limit_ + slots_ * kGrowthFraction);
  }
  return 1;
}

// Refusals of requests that were sent before the last cut have the same cause
// as that cut and are ignored.
void announced_limit::OnRefused(instant now, const limit_sample& sample) {
  const auto in_use = static_cast<double>(sample.occupancy.total);
  const bool indicates_full_slots = now >= refusals_ignored_until_ &&
                                    sample.started >= last_cut_ &&
                                    in_use >= limit_ * kNearLimitFraction;
  if (!indicates_full_slots) {
    return;
  }
  const double max_limit = MaxLimit(slots_);
  const double min_limit = slots_ * kMinLimitFraction;
  const double cut = std::min(limit_, in_use) * kRefusalCutFactor;
  if (cut < min_limit) {
    limit_ = max_limit;
    refusals_ignored_until_ = now + kRefusalIgnorePeriod;
    return;
  }
  limit_ = cut;
  last_cut_ = now;
}

}  // namespace auburnfold
