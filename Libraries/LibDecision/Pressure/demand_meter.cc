#include "LibDecision/Pressure/demand_meter.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr duration kWindow = std::chrono::milliseconds(100);
constexpr duration kCapacityExpiry = std::chrono::seconds(1);
constexpr double kSmoothing = 0.4;
/// If requests were queued for at least this fraction of a window, the endpoint
/// was saturated and its completion rate is its capacity.
constexpr double kSaturatedFraction = 0.95;
/// Growth of the capacity estimate in a window without saturation.
constexpr double kCapacityGrowth = 1.1;
/// Slightly more than the capacity is admitted, so that slots stay busy.
constexpr double kOvercommit = 1.03;
constexpr std::size_t kMaxClasses = 256;

double Seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

void demand_meter::OnOffered(instant now,
                             const class_name& request_class,
                             std::uint32_t weight,
                             rank request_rank) {
  AdvanceTo(now);
  class_demand& demand = FindOrCreateDemand(request_class);
  demand.weight = std::max<std::uint32_t>(weight, 1);
  if (PassesLevel(request_rank, demand.level)) {
    ++demand.arrivals[request_rank.value / kRanksPerPriority];
  }
}

void demand_meter::OnFinished(instant now) {
  AdvanceTo(now);
  ++completions_;
}

void demand_meter::OnQueueChanged(instant now, bool has_queue) {
  AdvanceTo(now);
  if (has_queue == has_queue_) {
    return;
  }
  if (has_queue_) {
    queued_time_ += now - queued_since_;
  }
  has_queue_ = has_queue;
  queued_since_ = now;
}

std::uint16_t demand_meter::LevelFor(const class_name& request_class) const {
  const auto found = index_.find(request_class);
  return found == index_.end() ? 0 : classes_[found->second].level;
}

// Callers choose class names, so the number of entries is bounded. Classes
// beyond the bound share the last entry.
demand_meter::class_demand& demand_meter::FindOrCreateDemand(
    const class_name& request_class) {
  const auto found = index_.find(request_class);
  if (found != index_.end()) {
    return classes_[found->second];
  }
  if (classes_.size() == kMaxClasses) {
    return classes_.back();
  }
  index_.emplace(request_class, classes_.size());
  return classes_.emplace_back();
}

void demand_meter::AdvanceTo(instant now) {
  const duration length = now - window_start_;
  if (length < kWindow) {
    return;
  }
  if (length > kCapacityExpiry) {
    capacity_ = 0;
  }
  if (has_queue_) {
    queued_time_ += now - std::max(queued_since_, window_start_);
    queued_since_ = now;
  }
  CloseWindow(length);
  window_start_ = now;
  completions_ = 0;
  queued_time_ = {};
}

void demand_meter::CloseWindow(duration length) {
  const double seconds = Seconds(length);
  for (class_demand& demand : classes_) {
    for (std::size_t priority = 0; priority < kPriorities; ++priority) {
      const double passing_fraction =
          PassingFraction(static_cast<std::uint8_t>(priority), demand.level);
      const double rate =
          demand.arrivals[priority] / passing_fraction / seconds;
      demand.rate[priority] += kSmoothing * (rate - demand.rate[priority]);
      demand.arrivals[priority] = 0;
    }
  }
  UpdateCapacity(seconds, Seconds(queued_time_) / seconds);
  UpdateLevels();
}

void demand_meter::UpdateCapacity(double seconds, double queued_fraction) {
  const double completion_rate = completions_ / seconds;
  if (queued_fraction < kSaturatedFraction) {
    const bool is_exceeded = capacity_ > 0 && TotalRate() > capacity_;
    capacity_ = is_exceeded
                    ? std::max(capacity_, completion_rate) * kCapacityGrowth
                    : 0;
    return;
  }
  if (capacity_ == 0) {
    capacity_ = completion_rate;
    return;
  }
  capacity_ += kSmoothing * (completion_rate - capacity_);
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

void demand_meter::UpdateLevels() {
  for (class_demand& demand : classes_) {
    demand.level = 0;
  }
  const double total = TotalRate();
  const double capacity = capacity_ * kOvercommit;
  served_fraction_ = 1;
  if (capacity <= 0 || total <= capacity) {
    return;
  }
  served_fraction_ = capacity / total;
  double remaining = capacity;
  for (std::size_t priority = kPriorities; priority-- > 0;) {
    double demanded = 0;
    for (const class_demand& demand : classes_) {
      demanded += demand.rate[priority];
    }
    if (demanded > remaining) {
      return SetMarginalLevels(priority, remaining);
    }
    remaining -= demanded;
  }
}

// Divides `capacity` by weight. What a class does not need goes to the others.
void demand_meter::SetMarginalLevels(std::size_t priority, double capacity) {
  const auto first_rank = static_cast<double>(priority * kRanksPerPriority);
  std::vector<class_demand*> competing;
  double total_weight = 0;
  for (class_demand& demand : classes_) {
    demand.level = static_cast<std::uint16_t>(first_rank);
    if (demand.rate[priority] > 0) {
      competing.push_back(&demand);
      total_weight += demand.weight;
    }
  }
  std::sort(competing.begin(), competing.end(),
            [priority](const class_demand* left, const class_demand* right) {
              return left->rate[priority] / left->weight <
                     right->rate[priority] / right->weight;
            });
  for (class_demand* demand : competing) {
    const double fair_rate = capacity * demand->weight / total_weight;
    const double granted_rate = std::min(fair_rate, demand->rate[priority]);
    const double refused_fraction = 1 - granted_rate / demand->rate[priority];
    demand->level = static_cast<std::uint16_t>(
        first_rank + refused_fraction * (kRanksPerPriority - 1));
    capacity -= granted_rate;
    total_weight -= demand->weight;
  }
}

}  // namespace auburnfold
