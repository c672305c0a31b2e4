#include "LibDecision/Pressure/pressure_memory.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr duration kFreshFor = std::chrono::milliseconds(200);
constexpr duration kForgottenAfter = std::chrono::milliseconds(700);
constexpr double kRefusedSmoothing = 1.0 / 16;
constexpr double kRefusesAsWholeShare = 0.3;
constexpr duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr std::size_t kMostEntries = 4096;
constexpr std::size_t kMostEndpoints = 32;
constexpr std::size_t kMostDeepServices = 32;

// 1 for what was just heard, falling to 0 for what is no longer known.
double Freshness(instant now, instant heard) {
  const duration age = now - heard;
  if (age <= kFreshFor) {
    return 1;
  }
  if (age >= kForgottenAfter) {
    return 0;
  }
  return static_cast<double>((kForgottenAfter - age).count()) /
         static_cast<double>((kForgottenAfter - kFreshFor).count());
}

bool IsRefusal(const outcome& result) {
  return result.error == error_kind::kOverloaded ||
         result.error == error_kind::kQueueDeadline ||
         result.error == error_kind::kTenantOverShare;
}

}  // namespace

void pressure_memory::OnAnswer(instant now,
                               const service_class& called,
                               node_id node,
                               const outcome& result) {
  if (!result.peer) {
    return;
  }
  if (heard_.size() >= kMostEntries && !heard_.contains(called)) {
    heard_.clear();
  }
  service_pressure& heard = heard_[called];
  const double refused = IsRefusal(result) ? 1 : 0;
  heard.refused_share *= Freshness(now, heard.refreshed);
  heard.refused_share += kRefusedSmoothing * (refused - heard.refused_share);
  heard.retry_after = result.peer->retry_after;
  heard.refreshed = now;
  const endpoint_level latest{node, result.peer->level, now};
  const auto known = std::find_if(
      heard.levels.begin(), heard.levels.end(),
      [node](const endpoint_level& each) { return each.node == node; });
  if (known != heard.levels.end()) {
    *known = latest;
    return;
  }
  if (heard.levels.size() >= kMostEndpoints) {
    std::erase_if(heard.levels, [now](const endpoint_level& each) {
      return now - each.heard >= kForgottenAfter;
    });
  }
  if (heard.levels.size() < kMostEndpoints) {
    heard.levels.push_back(latest);
  }
}

void pressure_memory::OnDeepCall(instant now,
                                 const class_name& own_class,
                                 const service_class& called) {
  if (deep_.size() >= kMostEntries && !deep_.contains(own_class)) {
    deep_.clear();
  }
  std::vector<deep_service>& services = deep_[own_class];
  for (deep_service& each : services) {
    if (each.called == called) {
      each.called_at = now;
      return;
    }
  }
  if (services.size() >= kMostDeepServices) {
    services.erase(std::min_element(
        services.begin(), services.end(),
        [](const deep_service& left, const deep_service& right) {
          return left.called_at < right.called_at;
        }));
  }
  services.push_back({called, now});
}

std::uint16_t pressure_memory::LevelFor(instant now,
                                        const service_class& called) const {
  const auto found = heard_.find(called);
  return found == heard_.end() ? 0 : LevelOf(now, found->second);
}

// The mean of all endpoints, without smoothing over time: the levels are
// smooth where they are made, and every further filter would delay the
// recovery of a deep chain once more at each hop.
std::uint16_t pressure_memory::LevelOf(instant now,
                                       const service_pressure& pressure) {
  double sum = 0;
  double weights = 0;
  for (const endpoint_level& each : pressure.levels) {
    const double freshness = Freshness(now, each.heard);
    if (freshness > 0) {
      sum += freshness * each.level;
      weights += 1;
    }
  }
  return weights == 0 ? 0 : static_cast<std::uint16_t>(sum / weights);
}

std::uint16_t pressure_memory::DeepLevelFor(instant now,
                                            const class_name& own_class) const {
  const auto found = deep_.find(own_class);
  if (found == deep_.end()) {
    return 0;
  }
  std::uint16_t highest = 0;
  for (const deep_service& each : found->second) {
    if (now - each.called_at < kForgottenAfter) {
      highest = std::max(highest, LevelFor(now, each.called));
    }
  }
  return highest;
}

duration pressure_memory::RetryAfter(event_context& context,
                                     const service_class& called) const {
  const auto found = heard_.find(called);
  const duration base =
      found == heard_.end()
          ? kShortestRetryAfter
          : std::max(found->second.retry_after, kShortestRetryAfter);
  const double jitter = 0.5 + context.RandomFraction();
  return std::chrono::duration_cast<duration>(base * jitter);
}

bool pressure_memory::RefusesAsWhole(instant now,
                                     const service_class& called) const {
  const auto found = heard_.find(called);
  return found != heard_.end() &&
         found->second.refused_share * Freshness(now, found->second.refreshed) >
             kRefusesAsWholeShare;
}

}  // namespace auburnfold
