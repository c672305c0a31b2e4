#include "LibDecision/Admission/announced_limit.h"

#include <algorithm>
#include <limits>

namespace auburnfold {

namespace {

// Endpoints slow down when nearly all of their slots are in use.
constexpr double kUsableShare = 0.95;
constexpr double kLowestLimit = 2;
// After the endpoint turned a request away for want of a slot.
constexpr double kRefusedCut = 0.9;
/// Share of the limit in use from which a refusal speaks of missing slots.
constexpr double kFullShare = 0.8;
/// Regained with each answer, as a share of the slots.
constexpr double kGrowth = 0.002;

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

double announced_limit::OnSample(instant, const limit_sample& sample) {
  if (slots_ == 0) {
    return 1;
  }
  const double ceiling = Ceiling(slots_);
  if (!sample.is_refused) {
    usable_ = std::min(ceiling, usable_ + slots_ * kGrowth);
    return 1;
  }
  const auto in_use = static_cast<double>(sample.occupancy.total);
  if (in_use >= usable_ * kFullShare) {
    usable_ = std::max(std::min(kLowestLimit, ceiling),
                       std::min(usable_, in_use) * kRefusedCut);
  }
  return 1;
}

}  // namespace auburnfold
