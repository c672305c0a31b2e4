#ifndef LIBDECISION_WORK_LOCAL_ENDPOINT_H_
#define LIBDECISION_WORK_LOCAL_ENDPOINT_H_

#include <cstdint>
#include <optional>

#include "LibDecision/endpoint_leave.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/member_record.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// Time without a report or an answer after which the endpoint counts as silent
/// and new work for it is refused.
inline constexpr duration kEndpointSilenceTimeout = std::chrono::seconds(5);

/// Time from the start of the node during which the response to a health probe
/// stands in for a report. An endpoint that stays has reported by then.
inline constexpr duration kProbeValidity = std::chrono::milliseconds(2500);

/// How a report changed what this node knows about the endpoint.
enum class report_result : std::uint8_t {
  kAccepted,  ///< State and service stay as they were.
  kChanged,   ///< First report, new state or service, or end of a silence.
  kReplaced,  ///< First report of another run of the endpoint.
  kIgnored,   ///< Stale: sent by a run that was replaced, overtaken by a later
              ///< report of the same run, or a probe result that came too late.
  kDeferred,  ///< It may have been sent before a leave that an earlier run of
              ///< this node has acknowledged.
};

/// What this node knows about its local endpoint.
class local_endpoint {
 public:
  /// New work is still accepted for `leaving_grace` after the endpoint has
  /// announced that it leaves, since callers learn of it with a delay.
  explicit local_endpoint(duration leaving_grace = kLeavingGracePeriod)
      : leaving_grace_(leaving_grace) {}

  void Start(instant now) { node_started_at_ = now; }
  /// An earlier run of this node may have acknowledged a leave: until
  /// `OnEarlierRunKnown`, one late report does not make the endpoint ready.
  void AwaitEarlierRun() { is_earlier_run_unknown_ = true; }
  /// `earlier` is the record that an earlier run of this node has published;
  /// null if there is none. Returns a deferred report that is to be reported
  /// once more.
  std::optional<endpoint_reported> OnEarlierRunKnown(
      event_context& context,
      const member_record* earlier);
  report_result OnReported(event_context& context,
                           const endpoint_reported& report);
  /// The endpoint said in an answer that it leaves.
  report_result OnLeavingAnswered(event_context& context);
  /// Another node received such an answer from `run`, maybe before this node
  /// started.
  report_result OnLeavingNotice(event_context& context,
                                const endpoint_run& run);
  /// The endpoint did not accept a connection, or another one answered in its
  /// place. New work is refused for a short time.
  void OnUnreachable(event_context& context);
  /// The endpoint gave a complete answer, so it is alive.
  void OnAnswered(event_context& context);
  /// Returns whether the endpoint has just become silent.
  bool OnTimer(event_context& context);

  /// Why new work for `service` is refused; unset if it is accepted.
  std::optional<error_kind> RefusalFor(instant now,
                                       const service_name& service) const;
  /// The name that the endpoint reports; empty if it reports none.
  endpoint_name name() const {
    return report_ ? report_->name : endpoint_name();
  }
  /// The run that the last report names, and its endpoint.
  endpoint_run current_run() const {
    return report_ ? endpoint_run{report_->name, report_->run} : endpoint_run();
  }
  /// Whether the current run leaves for good: whatever it reports, it does not
  /// become ready again.
  bool has_departed() const { return report_ && departed_ == current_run(); }
  /// Whether the endpoint has announced that it leaves.
  bool is_leaving() const { return leaving_since_.has_value(); }
  /// The leave that the endpoint has announced.
  std::optional<endpoint_leave> leave() const;
  /// The last report that was not ignored.
  const std::optional<endpoint_reported>& report() const { return report_; }

 private:
  /// Whether `run` may be the run that the last report came from.
  bool IsCurrentRun(const endpoint_run& run) const;
  bool IsFirstReportWithRun(const endpoint_reported& report) const;
  /// Whether `report` may have been sent before a leave that is not known.
  bool MustDefer(event_context& context, const endpoint_reported& report);
  /// Marks `run`, the current one, as leaving for good since `since`.
  report_result Depart(const endpoint_run& run, instant since);
  report_result OnGone(event_context& context, const endpoint_reported& report);
  void OnGoneBeforeFirstReport(event_context& context,
                               const endpoint_reported& report);
  /// When the endpoint counts as silent if nothing is heard from it.
  instant SilenceDeadline() const;
  void ScheduleSilenceCheck(event_context& context);

  std::optional<endpoint_reported> report_;
  instant node_started_at_;
  instant last_heard_at_;
  std::optional<instant> leaving_since_;
  duration leaving_grace_;
  /// The run that has reported `endpoint_state::kGone`, or whose answers say
  /// that it leaves.
  std::optional<endpoint_run> departed_;
  instant unreachable_until_{};
  bool is_earlier_run_unknown_ = false;
  /// The first report that was deferred, and when it arrived.
  std::optional<endpoint_reported> deferred_;
  instant deferred_at_{};
  bool is_silent_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORK_LOCAL_ENDPOINT_H_
