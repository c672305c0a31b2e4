#include "LibDecision/Routing/capacity_placement.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

/// What an answer told is not used after this time: an endpoint may fill up or
/// empty in a few times the time that a request takes.
constexpr duration kMaxAge = std::chrono::milliseconds(500);
/// Without a recent capacity, this fraction of the announced slots counts.
constexpr double kUsableSlotFraction = 0.95;
constexpr double kLatencySmoothing = 0.1;
constexpr double kMeanSmoothing = 0.02;
/// One long request counts at most as this many times the usual.
constexpr double kMaxSampleFactor = 4;
constexpr double kMinWork = 0.25;
constexpr double kMaxWork = 4;
/// From this utilization on, the cost grows linearly: the request would wait.
constexpr double kFullUtilization = 0.95;
constexpr std::size_t kMaxClasses = 1024;

// Time until the answer in proportion to the time in service. With many slots,
// requests hardly wait before most of the slots are in use.
double Crowding(double utilization) {
  constexpr double kWaitFactor = 0.05;
  const double free = 1 - std::min(utilization, kFullUtilization);
  const double excess = std::max(0.0, utilization - kFullUtilization);
  return (1 + excess / (1 - kFullUtilization)) *
         (1 + kWaitFactor / (free * free));
}

void Smooth(double& mean, double sample, double smoothing) {
  mean = mean == 0 ? sample : mean + smoothing * (sample - mean);
}

}  // namespace

void capacity_placement::OnSent(node_id node, const service_class& target) {
  endpoints_[node].sent_since += WorkOf(target);
}

void capacity_placement::OnFinished(instant now,
                                    node_id node,
                                    const service_class& target,
                                    const outcome& result,
                                    duration elapsed) {
  endpoint_load& load = endpoints_[node];
  if (result.peer) {
    load.capacity = result.peer->capacity;
    load.in_flight = result.peer->in_flight;
    load.sent_since = 0;
    load.told_at = now;
  }
  if (result.is_complete() && !result.is_failure) {
    OnLatency(load, target, static_cast<double>(elapsed.count()));
  }
}

void capacity_placement::OnLatency(endpoint_load& load,
                                   const service_class& target,
                                   double elapsed_ns) {
  if (class_ns_.size() >= kMaxClasses && !class_ns_.contains(target)) {
    class_ns_.clear();
    service_ns_.clear();
  }
  double& class_mean = class_ns_[target];
  Smooth(class_mean, elapsed_ns, kMeanSmoothing);
  Smooth(service_ns_[target.service], elapsed_ns, kMeanSmoothing);
  const double ratio = elapsed_ns / std::max(class_mean, 1.0);
  load.slowness +=
      kLatencySmoothing *
      (std::min(ratio, load.slowness * kMaxSampleFactor) - load.slowness);
}

double capacity_placement::WorkOf(const service_class& target) const {
  const auto of_class = class_ns_.find(target);
  const auto of_service = service_ns_.find(target.service);
  if (of_class == class_ns_.end() || of_service == service_ns_.end()) {
    return 1;
  }
  return std::clamp(of_class->second / std::max(of_service->second, 1.0),
                    kMinWork, kMaxWork);
}

double capacity_placement::Utilization(instant now,
                                       const member_record& record,
                                       std::uint32_t own) const {
  double capacity = record.slots * kUsableSlotFraction;
  double in_use = own;
  const auto found = endpoints_.find(record.node);
  const bool is_told = found != endpoints_.end() &&
                       found->second.told_at != instant::min() &&
                       now - found->second.told_at <= kMaxAge;
  if (is_told) {
    const endpoint_load& load = found->second;
    capacity = load.capacity > 0 ? load.capacity : capacity;
    in_use = load.in_flight + load.sent_since;
  }
  return capacity > 0 ? in_use / capacity : 0;
}

double capacity_placement::Slowness(node_id node) const {
  const auto found = endpoints_.find(node);
  return found == endpoints_.end() ? 1 : found->second.slowness;
}

double capacity_placement::Cost(instant now,
                                const member_record& record,
                                std::uint32_t own) const {
  // The number of slots is unknown: more of the own requests there cost more.
  if (record.slots == 0) {
    return (own + 1) * Slowness(record.node);
  }
  return Slowness(record.node) * Crowding(Utilization(now, record, own));
}

}  // namespace auburnfold
