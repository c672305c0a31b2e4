#include "LibDecision/Pressure/demand_meter.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr duration kWindow = std::chrono::milliseconds(100);
constexpr duration kForgetAfter = std::chrono::seconds(1);
constexpr double kSmoothing = 0.4;
/// Share of a window with requests waiting from which what was finished is
/// all that the endpoint can do.
constexpr double kSaturatedShare = 0.95;
/// Without saturation the capacity is assumed to be this much larger.
constexpr double kCapacityGrowth = 1.1;
/// Slightly more is let through than was finished, so that slots stay full.
constexpr double kOvercommit = 1.03;
constexpr std::size_t kMostClasses = 256;

double Seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

void demand_meter::OnOffered(instant now,
                             const class_name& request_class,
                             std::uint32_t weight,
                             rank of) {
  RollTo(now);
  class_demand& demand = DemandOf(request_class);
  demand.weight = std::max<std::uint32_t>(weight, 1);
  if (Passes(of, demand.level)) {
    ++demand.seen[of.value / kRanksPerPriority];
  }
}

void demand_meter::OnFinished(instant now) {
  RollTo(now);
  ++finished_;
}

void demand_meter::OnWaiting(instant now, bool is_waiting) {
  RollTo(now);
  if (is_waiting == is_waiting_) {
    return;
  }
  if (is_waiting_) {
    waited_ += now - waiting_since_;
  }
  is_waiting_ = is_waiting;
  waiting_since_ = now;
}

std::uint16_t demand_meter::LevelFor(const class_name& request_class) const {
  const auto found = index_.find(request_class);
  return found == index_.end() ? 0 : classes_[found->second].level;
}

// Callers choose class names, so their number is bounded: further ones share
// the last entry.
demand_meter::class_demand& demand_meter::DemandOf(
    const class_name& request_class) {
  const auto found = index_.find(request_class);
  if (found != index_.end()) {
    return classes_[found->second];
  }
  if (classes_.size() == kMostClasses) {
    return classes_.back();
  }
  index_.emplace(request_class, classes_.size());
  return classes_.emplace_back();
}

void demand_meter::RollTo(instant now) {
  const duration length = now - window_start_;
  if (length < kWindow) {
    return;
  }
  if (length > kForgetAfter) {
    capacity_ = 0;
  }
  if (is_waiting_) {
    waited_ += now - std::max(waiting_since_, window_start_);
    waiting_since_ = now;
  }
  CloseWindow(length);
  window_start_ = now;
  finished_ = 0;
  waited_ = {};
}

void demand_meter::CloseWindow(duration length) {
  const double seconds = Seconds(length);
  for (class_demand& demand : classes_) {
    for (std::size_t priority = 0; priority < kPriorities; ++priority) {
      const double share =
          PassingShare(static_cast<std::uint8_t>(priority), demand.level);
      const double rate = demand.seen[priority] / share / seconds;
      demand.rate[priority] += kSmoothing * (rate - demand.rate[priority]);
      demand.seen[priority] = 0;
    }
  }
  MeasureCapacity(seconds, Seconds(waited_) / seconds);
  SetLevels();
}

void demand_meter::MeasureCapacity(double seconds, double waiting_share) {
  const double finished = finished_ / seconds;
  if (waiting_share < kSaturatedShare) {
    const bool is_bound = capacity_ > 0 && TotalRate() > capacity_;
    capacity_ = is_bound ? std::max(capacity_, finished) * kCapacityGrowth : 0;
    return;
  }
  if (capacity_ == 0) {
    capacity_ = finished;
    return;
  }
  capacity_ += kSmoothing * (finished - capacity_);
}

double demand_meter::TotalRate() const {
  double total = 0;
  for (const class_demand& demand : classes_) {
    for (const double rate : demand.rate) {
      total += rate;
    }
  }
  return total;
}

void demand_meter::SetLevels() {
  for (class_demand& demand : classes_) {
    demand.level = 0;
  }
  const double total = TotalRate();
  const double capacity = capacity_ * kOvercommit;
  served_share_ = 1;
  if (capacity <= 0 || total <= capacity) {
    return;
  }
  served_share_ = capacity / total;
  double left = capacity;
  for (std::size_t priority = kPriorities; priority-- > 0;) {
    double wanted = 0;
    for (const class_demand& demand : classes_) {
      wanted += demand.rate[priority];
    }
    if (wanted > left) {
      return SetMarginalLevels(priority, left);
    }
    left -= wanted;
  }
}

// Shares `capacity` by weight; what a class does not need goes to the others.
void demand_meter::SetMarginalLevels(std::size_t priority, double capacity) {
  const auto band = static_cast<double>(priority * kRanksPerPriority);
  std::vector<class_demand*> open;
  double weights = 0;
  for (class_demand& demand : classes_) {
    demand.level = static_cast<std::uint16_t>(band);
    if (demand.rate[priority] > 0) {
      open.push_back(&demand);
      weights += demand.weight;
    }
  }
  std::sort(open.begin(), open.end(),
            [priority](const class_demand* left, const class_demand* right) {
              return left->rate[priority] / left->weight <
                     right->rate[priority] / right->weight;
            });
  for (class_demand* demand : open) {
    const double fair = capacity * demand->weight / weights;
    const double given = std::min(fair, demand->rate[priority]);
    const double refused = 1 - given / demand->rate[priority];
    demand->level =
        static_cast<std::uint16_t>(band + refused * (kRanksPerPriority - 1));
    capacity -= given;
    weights -= demand->weight;
  }
}

}  // namespace auburnfold
