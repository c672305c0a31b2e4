#include "LibDecision/Pressure/pressure_memory.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr duration kFreshFor = std::chrono::milliseconds(200);
constexpr duration kForgottenAfter = std::chrono::milliseconds(700);
constexpr double kSmoothing = 0.25;
constexpr double kRefusesAsWholeShare = 0.3;
constexpr duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr std::size_t kMostEntries = 4096;

// 1 for what was just heard, falling to 0 for what is no longer known.
double Freshness(instant now, instant refreshed) {
  const duration age = now - refreshed;
  if (age <= kFreshFor) {
    return 1;
  }
  if (age >= kForgottenAfter) {
    return 0;
  }
  return static_cast<double>((kForgottenAfter - age).count()) /
         static_cast<double>((kForgottenAfter - kFreshFor).count());
}

std::string KeyOf(const service_name& service,
                  const class_name& request_class) {
  std::string key;
  key.reserve(service.value().size() + request_class.value().size() + 1);
  key.append(service.value()).push_back('\0');
  return key.append(request_class.value());
}

bool IsRefusal(const outcome& result) {
  return result.error == error_kind::kOverloaded ||
         result.error == error_kind::kQueueDeadline ||
         result.error == error_kind::kTenantOverShare;
}

}  // namespace

void pressure_memory::OnAnswer(instant now,
                               const service_name& service,
                               const class_name& request_class,
                               const outcome& result) {
  if (!result.peer) {
    return;
  }
  if (heard_.size() >= kMostEntries) {
    heard_.clear();
  }
  heard_level& heard = heard_[KeyOf(service, request_class)];
  const double freshness = Freshness(now, heard.refreshed);
  heard.level *= freshness;
  heard.refused_share *= freshness;
  heard.level += kSmoothing * (result.peer->level - heard.level);
  const double refused = IsRefusal(result) ? 1 : 0;
  heard.refused_share += kSmoothing / 4 * (refused - heard.refused_share);
  heard.retry_after = result.peer->retry_after;
  heard.refreshed = now;
}

void pressure_memory::OnDeepCall(instant now,
                                 const class_name& own_class,
                                 std::uint16_t level) {
  if (deep_.size() >= kMostEntries) {
    deep_.clear();
  }
  heard_level& deep = deep_[own_class];
  const double known = deep.level * Freshness(now, deep.refreshed);
  if (level >= known) {
    deep.level = level;
    deep.refreshed = now;
    return;
  }
  // The highest of several services counts, so a lower one moves it slowly.
  deep.level = known + kSmoothing / 4 * (level - known);
  deep.refreshed = now;
}

std::uint16_t pressure_memory::LevelFor(instant now,
                                        const service_name& service,
                                        const class_name& request_class) const {
  const heard_level* heard = Find(service, request_class);
  if (heard == nullptr) {
    return 0;
  }
  return static_cast<std::uint16_t>(heard->level *
                                    Freshness(now, heard->refreshed));
}

std::uint16_t pressure_memory::DeepLevelFor(instant now,
                                            const class_name& own_class) const {
  const auto found = deep_.find(own_class);
  if (found == deep_.end()) {
    return 0;
  }
  return static_cast<std::uint16_t>(found->second.level *
                                    Freshness(now, found->second.refreshed));
}

duration pressure_memory::RetryAfter(step& now,
                                     const service_name& service,
                                     const class_name& request_class) const {
  const heard_level* heard = Find(service, request_class);
  const duration base = heard == nullptr
                            ? kShortestRetryAfter
                            : std::max(heard->retry_after, kShortestRetryAfter);
  const double jitter = 0.5 + now.RandomShare();
  return std::chrono::duration_cast<duration>(base * jitter);
}

bool pressure_memory::RefusesAsWhole(instant now,
                                     const service_name& service,
                                     const class_name& request_class) const {
  const heard_level* heard = Find(service, request_class);
  return heard != nullptr &&
         heard->refused_share * Freshness(now, heard->refreshed) >
             kRefusesAsWholeShare;
}

const pressure_memory::heard_level* pressure_memory::Find(
    const service_name& service,
    const class_name& request_class) const {
  const auto found = heard_.find(KeyOf(service, request_class));
  return found == heard_.end() ? nullptr : &found->second;
}

}  // namespace auburnfold
