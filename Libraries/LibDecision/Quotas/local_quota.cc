#include "LibDecision/Quotas/local_quota.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace auburnfold {

namespace {

constexpr duration kAmpleTime = std::chrono::seconds(1);
/// How long the owner's refusal is taken into account.
constexpr duration kWordTime = std::chrono::seconds(5);
/// Granted requests that are used later add to those of a later window.
constexpr duration kMinGrantTime = std::chrono::milliseconds(200);
constexpr duration kMaxGrantTime = std::chrono::milliseconds(500);
/// How often a lost owner is asked again.
constexpr duration kProbeInterval = std::chrono::milliseconds(500);
constexpr duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr duration kIdleTime = std::chrono::seconds(10);
/// Demand is averaged over about this time.
constexpr double kDemandSeconds = 0.3;

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

void local_quota::SetLimit(const tenant_quota& limit) {
  limit_ = limit;
  OnOwnerChanged();
}

void local_quota::OnOwnerChanged() {
  is_ample_ = false;
  is_owner_lost_ = false;
  floor_.reset();
  word_at_.reset();
  retry_at_ = {};
  next_report_at_ = {};
  tokens_ = 0;
  returned_ = 0;
  is_announced_ = false;
}

quota_decision local_quota::Decide(instant now, duration patience) {
  last_used_at_ = now;
  ++arrived_;
  if (Take(now)) {
    return quota_decision::kAdmitted;
  }
  if (is_owner_lost_ || (HasWord(now) && retry_at_ > now + patience)) {
    return quota_decision::kRefused;
  }
  return quota_decision::kWait;
}

bool local_quota::TryTake(instant now) {
  return Take(now);
}

bool local_quota::Take(instant now) {
  ExpireTokens(now);
  if (tokens_ > 0) {
    --tokens_;
    return true;
  }
  if (is_owner_lost_) {
    return floor_ && floor_->TryTake(now);
  }
  if (IsAmple(now)) {
    ++admitted_;
    return true;
  }
  return false;
}

// While the owner is lost, what was admitted was not taken from its bucket.
void local_quota::Refund(instant now) {
  ExpireTokens(now);
  if (is_owner_lost_) {
    return;
  }
  if (admitted_ > 0) {
    --admitted_;
  } else {
    ++returned_;
  }
}

std::optional<quota_usage> local_quota::TakeUsage(instant now,
                                                  std::uint32_t waiting,
                                                  double fraction) {
  const bool has_arrivals = arrived_ > 0;
  ExpireTokens(now);
  MeasureDemand(now);
  quota_usage usage{.tenant = {},
                    .admitted = std::exchange(admitted_, 0),
                    .returned = std::exchange(returned_, 0),
                    .requested = waiting};
  if (HasWord(now) && !is_ample_ && has_arrivals) {
    const double expected = demand_ * Seconds(report_after_) + fraction;
    const auto in_advance = static_cast<std::uint32_t>(expected);
    usage.requested += in_advance > tokens_ ? in_advance - tokens_ : 0;
  }
  usage.will_report_again = demand_ * Seconds(kQuotaReportInterval) >= 1 &&
                            (has_arrivals || waiting > 0);
  const bool is_empty = usage == quota_usage{};
  if (is_empty && !is_announced_ && !is_owner_lost_) {
    return std::nullopt;
  }
  is_announced_ = usage.will_report_again;
  next_report_at_ = now + kQuotaReportInterval;
  return usage;
}

void local_quota::OnGrant(instant now, const quota_grant& grant) {
  ExpireTokens(now);
  is_owner_lost_ = false;
  if (floor_) {
    admitted_ += floor_->Debt(now);
    floor_.reset();
  }
  word_at_ = now;
  is_ample_ = grant.is_ample;
  retry_at_ = now + grant.retry_after;
  report_after_ = grant.report_after;
  next_report_at_ = now + grant.report_after;
  if (grant.granted > 0) {
    tokens_ += grant.granted;
    tokens_until_ =
        now + std::clamp(report_after_ * 2, kMinGrantTime, kMaxGrantTime);
  }
}

void local_quota::OnOwnerLost(instant now,
                              const quota_usage& usage,
                              std::optional<quota_floor> floor) {
  admitted_ += usage.admitted;
  if (!floor_) {
    floor_ = floor;
  }
  if (floor_) {
    floor_->Charge(std::exchange(admitted_, 0));
  }
  is_owner_lost_ = true;
  is_ample_ = false;
  next_report_at_ = now + kProbeInterval;
}

bool local_quota::IsIdle(instant now) const {
  return now - last_used_at_ > kIdleTime && admitted_ == 0;
}

std::optional<duration> local_quota::WordAge(instant now) const {
  if (!word_at_) {
    return std::nullopt;
  }
  return now - *word_at_;
}

duration local_quota::RetryAfter(instant now) const {
  const duration delay = floor_ ? floor_->NextAfter() : retry_at_ - now;
  return std::max(delay, kMinRetryDelay);
}

bool local_quota::IsAmple(instant now) const {
  return is_ample_ && word_at_ && now - *word_at_ < kAmpleTime;
}

bool local_quota::HasWord(instant now) const {
  return word_at_ && now - *word_at_ < kWordTime;
}

void local_quota::ExpireTokens(instant now) {
  if (tokens_ > 0 && now >= tokens_until_) {
    returned_ += std::exchange(tokens_, 0);
  }
}

void local_quota::MeasureDemand(instant now) {
  const double elapsed = std::max(Seconds(now - measured_at_), 0.01);
  const double weight = 1 - std::exp(-elapsed / kDemandSeconds);
  demand_ += weight * (arrived_ / elapsed - demand_);
  arrived_ = 0;
  measured_at_ = now;
}

}  // namespace auburnfold
