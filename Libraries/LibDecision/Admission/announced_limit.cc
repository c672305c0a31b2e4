#include "LibDecision/Admission/announced_limit.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace auburnfold {

namespace {

// Endpoints slow down when nearly all of their slots are in use.
constexpr double kUsableShare = 0.95;
// After the endpoint turned a request away for want of a slot.
constexpr double kRefusedCut = 0.9;
/// Share of the limit in use from which a refusal speaks of missing slots.
constexpr double kFullShare = 0.8;
/// Regained with each answer, as a share of the slots.
constexpr double kGrowth = 0.002;
/// An endpoint with fewer slots than this share of what it announces is not
/// told from one that turns requests away at random.
constexpr double kLeastShare = 0.5;
/// Refusals that fewer requests did not end say nothing for this long; a few
/// reports of the endpoint arrive meanwhile.
constexpr duration kRefusalsIgnoredFor = std::chrono::seconds(5);

double Ceiling(std::uint32_t slots) {
  return std::max(1.0, static_cast<double>(slots) * kUsableShare);
}

}  // namespace

void announced_limit::SetSlots(std::uint32_t slots) {
  if (slots == slots_) {
    return;
  }
  slots_ = slots;
  usable_ = Ceiling(slots);
}

std::uint32_t announced_limit::limit() const {
  return slots_ == 0 ? std::numeric_limits<std::uint32_t>::max()
                     : static_cast<std::uint32_t>(usable_);
}

double announced_limit::OnSample(instant now, const limit_sample& sample) {
  if (slots_ == 0) {
    return 1;
  }
  if (sample.is_refused) {
    OnRefused(now, sample);
  } else {
    usable_ = std::min(Ceiling(slots_), usable_ + slots_ * kGrowth);
  }
  return 1;
}

// What was sent before the last cut was refused for the same want of a slot.
void announced_limit::OnRefused(instant now, const limit_sample& sample) {
  const auto in_use = static_cast<double>(sample.occupancy.total);
  const bool speaks_of_slots = now >= refusals_ignored_until_ &&
                               sample.started >= cut_at_ &&
                               in_use >= usable_ * kFullShare;
  if (!speaks_of_slots) {
    return;
  }
  const double ceiling = Ceiling(slots_);
  const double floor = slots_ * kLeastShare;
  const double cut = std::min(usable_, in_use) * kRefusedCut;
  if (cut < floor) {
    usable_ = ceiling;
    refusals_ignored_until_ = now + kRefusalsIgnoredFor;
    return;
  }
  usable_ = cut;
  cut_at_ = now;
}

}  // namespace auburnfold
