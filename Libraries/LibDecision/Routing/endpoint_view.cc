#include "LibDecision/Routing/endpoint_view.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr std::uint32_t kFailuresToEject = 3;
constexpr std::uint32_t kUnansweredToEject = 8;
constexpr duration kFirstEjection = std::chrono::milliseconds(500);
constexpr std::uint32_t kMostDoublings = 1;
constexpr double kSmoothing = 0.1;
constexpr double kShortestLatencyNs = 1e5;
/// An endpoint that refused is less attractive for this long.
constexpr duration kRefusalMemory = std::chrono::milliseconds(20);
constexpr double kRefusalCost = 3;
constexpr double kFailureSmoothing = 0.05;
constexpr double kLeastServedShare = 0.1;
/// What an endpoint's node said of its occupancy is of no use after this time.
constexpr duration kOccupancyMemory = std::chrono::milliseconds(500);
constexpr duration kColdRamp = std::chrono::seconds(5);
constexpr double kColdShare = 0.2;

/// An endpoint that takes nothing is left alone for this long, unless its
/// record changes; short against the time in which clients come back.
constexpr duration kClosedMemory = std::chrono::milliseconds(400);

// No request can run there now, whatever the load.
bool IsClosed(const outcome& result) {
  const error_kind kind = *result.error;
  return kind == error_kind::kNoEndpoint ||
         kind == error_kind::kEndpointLeaving ||
         kind == error_kind::kEndpointReplaced ||
         kind == error_kind::kNodeStopping ||
         kind == error_kind::kEndpointUnreachable;
}

bool IsEndpointFailure(error_kind kind) {
  return kind == error_kind::kEndpointUnreachable ||
         kind == error_kind::kAnswerLost ||
         kind == error_kind::kAnswerTruncated;
}

}  // namespace

// Requests in flight at the earlier run still end here, so their count stays.
void endpoint_view::OnRun(incarnation run) {
  const bool is_replaced = run_ != incarnation() && run_ != run;
  run_ = run;
  if (!is_replaced) {
    return;
  }
  failures_ = 0;
  unanswered_ = 0;
  ejections_ = 0;
  ejected_until_ = instant();
  refused_at_ = instant::min();
  closed_until_ = instant();
  failed_share_ = 0;
}

void endpoint_view::OnFinished(instant now,
                               const outcome& result,
                               duration elapsed) {
  --in_flight_;
  if (result.peer) {
    answered_at_ = now;
    reported_in_flight_ = result.peer->in_flight;
    sent_since_report_ = 0;
    unanswered_ = 0;
    if (result.peer->is_cold && !is_cold_) {
      cold_since_ = now;
    }
    is_cold_ = result.peer->is_cold;
  }
  NoteFailure(result);
  if (result.is_complete()) {
    failures_ = 0;
    ejections_ = 0;
    const auto seen = static_cast<double>(elapsed.count());
    latency_ns_ = latency_ns_ == 0
                      ? seen
                      : latency_ns_ + kSmoothing * (seen - latency_ns_);
    return;
  }
  if (IsClosed(result)) {
    closed_until_ = now + kClosedMemory;
  }
  if (IsEndpointFailure(*result.error)) {
    ++failures_;
  } else {
    refused_at_ = now;
  }
}

// A refusal by the node says that the endpoint is busy, not that it fails.
void endpoint_view::NoteFailure(const outcome& result) {
  const bool is_failed =
      result.is_failure ||
      (!result.is_complete() && (IsEndpointFailure(*result.error) ||
                                 result.error == error_kind::kEndpointBusy ||
                                 result.error == error_kind::kAnswerTimeout));
  if (is_failed || result.is_complete()) {
    failed_share_ += kFailureSmoothing * ((is_failed ? 1 : 0) - failed_share_);
  }
}

std::optional<std::uint32_t> endpoint_view::Occupancy(instant now) const {
  if (now - answered_at_ > kOccupancyMemory) {
    return std::nullopt;
  }
  return reported_in_flight_ + sent_since_report_;
}

void endpoint_view::OnUnanswered(instant) {
  ++unanswered_;
}

double endpoint_view::Cost(instant now) const {
  const double latency = std::max(latency_ns_, kShortestLatencyNs);
  const bool has_refused =
      refused_at_ != instant::min() && now - refused_at_ < kRefusalMemory;
  const double refusal = has_refused ? kRefusalCost : 1;
  const double served = std::max(1 - failed_share_, kLeastServedShare);
  return (in_flight_ + 1) * latency * refusal / (ColdShare(now) * served);
}

bool endpoint_view::is_failing() const {
  return failures_ >= kFailuresToEject || unanswered_ >= kUnansweredToEject;
}

void endpoint_view::Eject(instant now) {
  const std::uint32_t doublings = std::min(ejections_, kMostDoublings);
  ejected_until_ = now + kFirstEjection * (1U << doublings);
  ++ejections_;
  // One more failure after the return ejects it again.
  failures_ = kFailuresToEject - 1;
  unanswered_ = kUnansweredToEject - 1;
}

double endpoint_view::ColdShare(instant now) const {
  if (!is_cold_) {
    return 1;
  }
  const double warmed = static_cast<double>((now - cold_since_).count()) /
                        static_cast<double>(kColdRamp.count());
  return std::clamp(kColdShare + (1 - kColdShare) * warmed, kColdShare, 1.0);
}

}  // namespace auburnfold
