#include "LibDecision/Pressure/pressure_tracker.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr duration kFullWeightAge = std::chrono::milliseconds(200);
constexpr duration kMaxAge = std::chrono::milliseconds(700);
constexpr double kRefusedSmoothing = 1.0 / 16;
constexpr double kOverloadedRefusalFraction = 0.3;
constexpr duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr std::size_t kMaxEntries = 4096;
constexpr std::size_t kMaxEndpoints = 32;
constexpr std::size_t kMaxDependencies = 32;

// 1 for recent updates, falling linearly to 0 at the maximum age.
double FreshnessWeight(instant now, instant updated_at) {
  const duration age = now - updated_at;
  if (age <= kFullWeightAge) {
    return 1;
  }
  if (age >= kMaxAge) {
    return 0;
  }
  return static_cast<double>((kMaxAge - age).count()) /
         static_cast<double>((kMaxAge - kFullWeightAge).count());
}

bool IsOverloadRefusal(const outcome& result) {
  return result.error == error_kind::kOverloaded ||
         result.error == error_kind::kQueueDeadline ||
         result.error == error_kind::kTenantOverShare;
}

}  // namespace

void pressure_tracker::OnAnswer(instant now,
                                const service_class& called,
                                node_id node,
                                const outcome& result) {
  if (!result.peer) {
    return;
  }
  if (pressures_.size() >= kMaxEntries && !pressures_.contains(called)) {
    pressures_.clear();
  }
  service_pressure& pressure = pressures_[called];
  pressure.refused_fraction *= FreshnessWeight(now, pressure.updated_at);
  // A rate limit of one endpoint says nothing about the load of the service.
  if (result.error != error_kind::kRateLimited) {
    const double refused = IsOverloadRefusal(result) ? 1 : 0;
    pressure.refused_fraction +=
        kRefusedSmoothing * (refused - pressure.refused_fraction);
  }
  pressure.retry_after = result.peer->retry_after;
  pressure.updated_at = now;
  const endpoint_level latest{node, result.peer->level, now};
  const auto known = std::find_if(
      pressure.levels.begin(), pressure.levels.end(),
      [node](const endpoint_level& each) { return each.node == node; });
  if (known != pressure.levels.end()) {
    *known = latest;
    return;
  }
  if (pressure.levels.size() >= kMaxEndpoints) {
    std::erase_if(pressure.levels, [now](const endpoint_level& each) {
      return now - each.updated_at >= kMaxAge;
    });
  }
  if (pressure.levels.size() < kMaxEndpoints) {
    pressure.levels.push_back(latest);
  }
}

void pressure_tracker::OnChildCall(instant now,
                                   const class_name& parent_class,
                                   const service_class& called) {
  if (dependencies_.size() >= kMaxEntries &&
      !dependencies_.contains(parent_class)) {
    dependencies_.clear();
  }
  std::vector<dependency>& dependencies = dependencies_[parent_class];
  for (dependency& each : dependencies) {
    if (each.called == called) {
      each.called_at = now;
      return;
    }
  }
  if (dependencies.size() >= kMaxDependencies) {
    dependencies.erase(
        std::min_element(dependencies.begin(), dependencies.end(),
                         [](const dependency& left, const dependency& right) {
                           return left.called_at < right.called_at;
                         }));
  }
  dependencies.push_back({called, now});
}

std::uint16_t pressure_tracker::LevelFor(instant now,
                                         const service_class& called) const {
  const auto found = pressures_.find(called);
  return found == pressures_.end() ? 0 : LevelOf(now, found->second);
}

// The mean over all endpoints, without smoothing over time: the reporting nodes
// already smooth their levels, and another filter at each hop would delay the
// recovery of a long call chain.
std::uint16_t pressure_tracker::LevelOf(instant now,
                                        const service_pressure& pressure) {
  double sum = 0;
  double endpoint_count = 0;
  for (const endpoint_level& each : pressure.levels) {
    const double freshness = FreshnessWeight(now, each.updated_at);
    if (freshness > 0) {
      sum += freshness * each.level;
      endpoint_count += 1;
    }
  }
  return endpoint_count == 0 ? 0
                             : static_cast<std::uint16_t>(sum / endpoint_count);
}

std::uint16_t pressure_tracker::DependencyLevelFor(
    instant now,
    const class_name& parent_class) const {
  const auto found = dependencies_.find(parent_class);
  if (found == dependencies_.end()) {
    return 0;
  }
  std::uint16_t highest = 0;
  for (const dependency& each : found->second) {
    if (now - each.called_at < kMaxAge) {
      highest = std::max(highest, LevelFor(now, each.called));
    }
  }
  return highest;
}

duration pressure_tracker::RetryAfter(event_context& context,
                                      const service_class& called) const {
  const auto found = pressures_.find(called);
  const duration base =
      found == pressures_.end()
          ? kMinRetryAfter
          : std::max(found->second.retry_after, kMinRetryAfter);
  const double jitter = 0.5 + context.RandomFraction();
  return std::chrono::duration_cast<duration>(base * jitter);
}

bool pressure_tracker::IsOverloaded(instant now,
                                    const service_class& called) const {
  const auto found = pressures_.find(called);
  return found != pressures_.end() &&
         found->second.refused_fraction *
                 FreshnessWeight(now, found->second.updated_at) >
             kOverloadedRefusalFraction;
}

}  // namespace auburnfold
