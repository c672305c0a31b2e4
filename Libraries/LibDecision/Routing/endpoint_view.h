#ifndef LIBDECISION_ROUTING_ENDPOINT_VIEW_H_
#define LIBDECISION_ROUTING_ENDPOINT_VIEW_H_

#include <cstdint>
#include <optional>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// What this node itself has seen of one endpoint. Load and health that the
/// endpoint reports are not part of it.
class endpoint_view {
 public:
  /// The node's record names `run`: what an earlier run did counts no more.
  void OnRun(incarnation run);
  void OnSent() {
    ++in_flight_;
    ++sent_since_report_;
  }
  void OnCancelled() { --in_flight_; }
  void OnFinished(instant now, const outcome& result, duration elapsed);
  /// An attempt got no answer before its deadline.
  void OnUnanswered(instant now);

  /// Expected cost of one more request; lower is better.
  double Cost(instant now) const;
  /// Expected time to an answer; zero while it is not known.
  double latency_ns() const { return latency_ns_; }
  /// Share of the recent requests that failed there, or were turned away by
  /// the endpoint itself.
  double failed_share() const { return failure_ratio_; }
  /// Requests that run or wait there, as last heard, with those sent since;
  /// nothing if nothing was heard recently.
  std::optional<std::uint32_t> Occupancy(instant now) const;
  /// Failures in a row are enough to stop using the endpoint for a while.
  bool is_failing() const;
  bool IsEjected(instant now) const {
    return now < ejected_until_ || now < unavailable_until_;
  }
  /// When the endpoint's node last answered.
  instant answered_at() const { return answered_at_; }
  std::uint32_t in_flight() const { return in_flight_; }
  /// Stops using the endpoint, each time in a row for twice as long.
  void Eject(instant now);

 private:
  void UpdateFailureRatio(const outcome& result);
  double WarmUpFactor(instant now) const;

  incarnation run_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t timeouts_ = 0;
  std::uint32_t consecutive_ejections_ = 0;
  double latency_ns_ = 0;
  double failure_ratio_ = 0;
  std::uint32_t reported_in_flight_ = 0;
  std::uint32_t sent_since_report_ = 0;
  instant ejected_until_{};
  instant refused_at_ = instant::min();
  /// The endpoint takes nothing until then, as its node says, or cannot be
  /// reached.
  instant unavailable_until_{};
  instant answered_at_{};
  bool is_cold_ = false;
  instant cold_since_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ENDPOINT_VIEW_H_
