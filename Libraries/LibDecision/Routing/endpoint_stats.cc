#include "LibDecision/Routing/endpoint_stats.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

/// An endpoint is ejected after this many consecutive failures.
constexpr std::uint32_t kFailuresToEject = 3;
/// An endpoint is ejected after this many timeouts without an answer between.
constexpr std::uint32_t kTimeoutsToEject = 8;
/// Consecutive ejections take twice as long each, up to the maximum number of
/// doublings.
constexpr duration kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxEjectionDoublings = 1;
/// Weight of the newest sample in the smoothed latency.
constexpr double kLatencySmoothing = 0.1;
/// Lower bound of the latency that the cost is based on, in nanoseconds.
constexpr double kMinLatencyNs = 1e5;
/// An endpoint that refused a request costs more for this long.
constexpr duration kRefusalPenaltyTime = std::chrono::milliseconds(20);
constexpr double kRefusalCostFactor = 3;
/// Weight of the newest request in the failed fraction.
constexpr double kFailedFractionSmoothing = 0.05;
/// Lower bound of the fraction of requests that are assumed to succeed.
constexpr double kMinServedFraction = 0.1;
/// A reported occupancy is too old to use after this time.
constexpr duration kMaxOccupancyAge = std::chrono::milliseconds(500);
/// The cost of an endpoint that started recently falls to normal over this
/// time.
constexpr duration kWarmUpTime = std::chrono::seconds(5);
constexpr double kInitialWarmUpFactor = 0.2;

/// An endpoint that accepts no requests is not used for this long, unless its
/// node starts a new run. Short compared to the delay of client retries.
constexpr duration kUnavailableTime = std::chrono::milliseconds(400);

// The endpoint accepts no requests now, whatever its load.
bool MeansUnavailable(const outcome& result) {
  const error_kind kind = *result.error;
  return kind == error_kind::kNoEndpoint ||
         kind == error_kind::kEndpointLeaving ||
         kind == error_kind::kEndpointReplaced ||
         kind == error_kind::kNodeStopping ||
         kind == error_kind::kEndpointUnreachable ||
         kind == error_kind::kEndpointCrashed;
}

bool IsEndpointFailure(error_kind kind) {
  return kind == error_kind::kEndpointUnreachable ||
         kind == error_kind::kEndpointCrashed ||
         kind == error_kind::kAnswerLost ||
         kind == error_kind::kAnswerTruncated;
}

}  // namespace

// Requests in flight at the earlier run still finish, so `in_flight_` is kept.
void endpoint_stats::OnRun(incarnation run) {
  const bool is_replaced = run_ != incarnation() && run_ != run;
  run_ = run;
  if (!is_replaced) {
    return;
  }
  consecutive_failures_ = 0;
  timeouts_ = 0;
  consecutive_ejections_ = 0;
  ejected_until_ = instant();
  refused_at_ = instant::min();
  unavailable_until_ = instant();
  failed_fraction_ = 0;
  send_interval_ = duration::zero();
  next_send_at_ = instant();
}

void endpoint_stats::OnSent(instant now) {
  ++in_flight_;
  ++sent_since_report_;
  if (send_interval_ > duration::zero()) {
    next_send_at_ = std::max(now, next_send_at_) + send_interval_;
  }
}

instant endpoint_stats::NextSendAt(double tolerance) const {
  return next_send_at_ -
         std::chrono::duration_cast<duration>(send_interval_ * tolerance);
}

void endpoint_stats::OnFinished(instant now,
                                const outcome& result,
                                duration elapsed,
                                bool carried_notice) {
  --in_flight_;
  if (result.peer) {
    UpdateNotice(now, result, carried_notice);
    UpdateSendInterval(now, result);
    answered_at_ = now;
    reported_in_flight_ = result.peer->in_flight;
    sent_since_report_ = 0;
    timeouts_ = 0;
    if (result.peer->is_cold && !is_cold_) {
      cold_since_ = now;
    }
    is_cold_ = result.peer->is_cold;
  }
  UpdateFailedFraction(result);
  if (result.is_complete()) {
    consecutive_failures_ = 0;
    consecutive_ejections_ = 0;
    const auto sample = static_cast<double>(elapsed.count());
    latency_ns_ = latency_ns_ == 0 ? sample
                                   : latency_ns_ + kLatencySmoothing *
                                                       (sample - latency_ns_);
    return;
  }
  if (MeansUnavailable(result)) {
    unavailable_until_ = now + kUnavailableTime;
  }
  if (IsEndpointFailure(*result.error)) {
    ++consecutive_failures_;
  } else if (!IsAboutCrashes(*result.error)) {
    refused_at_ = now;
  }
}

void endpoint_stats::UpdateSendInterval(instant now, const outcome& result) {
  send_interval_ = result.peer->send_interval;
  if (send_interval_ == duration::zero()) {
    next_send_at_ = instant();
  } else if (result.error == error_kind::kRateLimited) {
    next_send_at_ = std::max(next_send_at_, now + send_interval_);
  }
}

// Answers may overtake each other, so one without a notice ends a notice only
// if its request carried it: the node has considered it then. An endpoint that
// leaves does not come back in the same run.
void endpoint_stats::UpdateNotice(instant now,
                                  const outcome& result,
                                  bool carried_notice) {
  const std::optional<endpoint_notice>& latest = result.peer->notice;
  if (!latest) {
    if (result.is_complete() && carried_notice) {
      notice_.reset();
    }
    return;
  }
  const bool has_left = notice_ && notice_->is_leaving &&
                        notice_->endpoint == latest->endpoint &&
                        notice_->run == latest->run;
  notice_ = latest;
  notice_->is_leaving = latest->is_leaving || has_left;
  if (notice_->is_leaving) {
    unavailable_until_ = now + kUnavailableTime;
  }
}

// A refusal by the node means that the endpoint is busy, not that it fails.
void endpoint_stats::UpdateFailedFraction(const outcome& result) {
  const bool is_failed =
      result.is_failure ||
      (!result.is_complete() && (IsEndpointFailure(*result.error) ||
                                 result.error == error_kind::kEndpointBusy ||
                                 result.error == error_kind::kAnswerTimeout));
  if (is_failed || result.is_complete()) {
    failed_fraction_ +=
        kFailedFractionSmoothing * ((is_failed ? 1 : 0) - failed_fraction_);
  }
}

std::optional<std::uint32_t> endpoint_stats::Occupancy(instant now) const {
  if (now - answered_at_ > kMaxOccupancyAge) {
    return std::nullopt;
  }
  return reported_in_flight_ + sent_since_report_;
}

void endpoint_stats::OnTimedOut(instant) {
  ++timeouts_;
}

double endpoint_stats::Cost(instant now) const {
  const double latency = std::max(latency_ns_, kMinLatencyNs);
  return (in_flight_ + 1) * latency * RefusalFactor(now) / UsableShare(now);
}

double endpoint_stats::Penalty(instant now) const {
  return RefusalFactor(now) / UsableShare(now);
}

double endpoint_stats::RefusalFactor(instant now) const {
  const bool has_refused_recently =
      refused_at_ != instant::min() && now - refused_at_ < kRefusalPenaltyTime;
  return has_refused_recently ? kRefusalCostFactor : 1;
}

double endpoint_stats::UsableShare(instant now) const {
  return WarmUpFactor(now) * std::max(1 - failed_fraction_, kMinServedFraction);
}

bool endpoint_stats::should_eject() const {
  return consecutive_failures_ >= kFailuresToEject ||
         timeouts_ >= kTimeoutsToEject;
}

void endpoint_stats::Eject(instant now) {
  const std::uint32_t doublings =
      std::min(consecutive_ejections_, kMaxEjectionDoublings);
  ejected_until_ = now + kBaseEjectionTime * (1U << doublings);
  ++consecutive_ejections_;
  // The first failure after the ejection ends ejects it again.
  consecutive_failures_ = kFailuresToEject - 1;
  timeouts_ = kTimeoutsToEject - 1;
}

double endpoint_stats::WarmUpFactor(instant now) const {
  if (!is_cold_) {
    return 1;
  }
  const double progress = static_cast<double>((now - cold_since_).count()) /
                          static_cast<double>(kWarmUpTime.count());
  return std::clamp(
      kInitialWarmUpFactor + (1 - kInitialWarmUpFactor) * progress,
      kInitialWarmUpFactor, 1.0);
}

}  // namespace auburnfold
