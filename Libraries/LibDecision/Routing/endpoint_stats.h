#ifndef LIBDECISION_ROUTING_ENDPOINT_STATS_H_
#define LIBDECISION_ROUTING_ENDPOINT_STATS_H_

#include <cstdint>
#include <optional>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// Statistics of this node's own requests to one endpoint. Load and health that
/// the endpoint itself reports are not included.
class endpoint_stats {
 public:
  /// `run` is the incarnation in the node's record. A new one discards the
  /// failures and ejections of the earlier one.
  void OnRun(incarnation run);
  void OnSent(instant now);
  void OnCancelled() { --in_flight_; }
  /// `carried_notice` says whether the request carried `notice()`.
  void OnFinished(instant now,
                  const outcome& result,
                  duration elapsed,
                  bool carried_notice = false);
  /// An attempt reached its deadline without an answer.
  void OnTimedOut(instant now);

  /// Estimated cost of sending one more request; lower is better.
  double Cost(instant now) const;
  /// Factor of the cost for recent refusals and failures, and for a cold start;
  /// 1 or more.
  double Penalty(instant now) const;
  /// Smoothed latency in nanoseconds; 0 while it is not known.
  double latency_ns() const { return latency_ns_; }
  /// Fraction of recent requests that failed or that the endpoint itself
  /// rejected, 0 to 1.
  double failed_fraction() const { return failed_fraction_; }
  /// Number of requests that run or wait at the endpoint: as its node last
  /// reported, plus those sent since. Unset if the last report is too old.
  std::optional<std::uint32_t> Occupancy(instant now) const;
  /// Whether consecutive failures have reached the threshold for an ejection.
  bool should_eject() const;
  bool IsEjected(instant now) const {
    return now < ejected_until_ || now < unavailable_until_;
  }
  /// What the endpoint's node last said about the endpoint; unset if the
  /// endpoint names no limit and is not leaving.
  const std::optional<endpoint_notice>& notice() const { return notice_; }
  /// When the next request may be sent, so that all senders together keep the
  /// endpoint's rate limit, if a request may be sent by `tolerance` of the send
  /// interval too early; in the past if it need not wait. Requests that are
  /// sent too early delay those with less tolerance.
  instant NextSendAt(double tolerance) const;
  /// When the endpoint's node last answered; the clock's origin if never.
  instant last_answered_at() const { return answered_at_; }
  std::uint32_t in_flight() const { return in_flight_; }
  /// Stops using the endpoint for a while, longer after consecutive ejections.
  void Eject(instant now);

 private:
  void UpdateSendInterval(instant now, const outcome& result);
  void UpdateNotice(instant now, const outcome& result, bool carried_notice);
  void UpdateFailedFraction(const outcome& result);
  double WarmUpFactor(instant now) const;
  double RefusalFactor(instant now) const;
  /// What recent failures and a cold start leave of the endpoint's share.
  double UsableShare(instant now) const;

  incarnation run_;
  std::uint32_t in_flight_ = 0;
  std::uint32_t consecutive_failures_ = 0;
  std::uint32_t timeouts_ = 0;
  std::uint32_t consecutive_ejections_ = 0;
  double latency_ns_ = 0;
  double failed_fraction_ = 0;
  std::uint32_t reported_in_flight_ = 0;
  std::uint32_t sent_since_report_ = 0;
  instant ejected_until_{};
  instant refused_at_ = instant::min();
  /// Until then the endpoint counts as unreachable, or as accepting no
  /// requests.
  instant unavailable_until_{};
  instant answered_at_{};
  /// Kept when the endpoint's node starts a new run, which may not know it.
  std::optional<endpoint_notice> notice_;
  duration send_interval_{};
  instant next_send_at_{};
  bool is_cold_ = false;
  instant cold_since_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ENDPOINT_STATS_H_
