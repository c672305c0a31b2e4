#include "LibDecision/Work/local_endpoint.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

namespace {

// An endpoint that has exited is replaced after seconds, but one whose accept
// queue was full accepts connections again much sooner.
constexpr duration kUnreachableTime = std::chrono::milliseconds(200);

// A running endpoint reports periodically. Reports that were delayed by the
// same partition arrive in a burst and do not confirm each other.
constexpr duration kMinReportInterval = std::chrono::milliseconds(500);

// A low sequence number shows that the endpoint has only just started.
constexpr std::uint64_t kFirstReports = 2;

}  // namespace

// A replaced endpoint that was paused may resume and report once more. Its run
// number is lower, and its report is accepted only if the newer run is silent.
report_result local_endpoint::OnReported(event_context& context,
                                         const endpoint_reported& report) {
  if (report.state == endpoint_state::kGone) {
    return OnGone(context, report);
  }
  const bool is_late_probe_result =
      report.is_probe_result &&
      context.now() >= node_started_at_ + kProbeValidity;
  if (is_late_probe_result) {
    return report_result::kIgnored;
  }
  if (MustDefer(context, report)) {
    return report_result::kDeferred;
  }
  if (report_ && IsFirstReportWithRun(report)) {
    if (departed_ == endpoint_run{report.name, incarnation()}) {
      departed_->run = report.run;
    }
    report_->run = report.run;
  }
  const bool is_other_run =
      report_ && (report.run != report_->run || report.name != report_->name);
  if (is_other_run && report.run < report_->run && !is_silent_) {
    return report_result::kIgnored;
  }
  const bool is_stale = report_ && !is_other_run && report.sequence != 0 &&
                        report.sequence <= report_->sequence;
  if (is_stale) {
    return report_result::kIgnored;
  }
  const bool is_unchanged = report_ && !is_silent_ &&
                            report.state == report_->state &&
                            report.service == report_->service;
  report_ = report;
  if (departed_ == endpoint_run{report.name, report.run}) {
    report_->state = endpoint_state::kLeaving;
  }
  unreachable_until_ = instant();
  if (report_->state == endpoint_state::kReady) {
    leaving_since_.reset();
  } else if (!leaving_since_ || is_other_run) {
    leaving_since_ = context.now();
  }
  is_silent_ = false;
  last_heard_at_ = context.now();
  ScheduleSilenceCheck(context);
  if (is_other_run) {
    return report_result::kReplaced;
  }
  return is_unchanged ? report_result::kAccepted : report_result::kChanged;
}

// The key-value store may not answer for long, and no other node may know the
// leave. An endpoint that has left sends no more reports, though one or several
// may be late, and its health probe may still succeed.
bool local_endpoint::MustDefer(event_context& context,
                               const endpoint_reported& report) {
  const bool is_certain = !is_earlier_run_unknown_ || report_ ||
                          report.state != endpoint_state::kReady;
  if (is_certain) {
    return false;
  }
  if (report.is_probe_result) {
    return true;
  }
  if (report.sequence <= kFirstReports) {
    return false;
  }
  const bool is_same_run = deferred_ && deferred_->name == report.name &&
                           deferred_->run == report.run;
  if (!is_same_run) {
    deferred_ = report;
    deferred_at_ = context.now();
    return true;
  }
  return report.sequence <= deferred_->sequence ||
         context.now() - deferred_at_ < kMinReportInterval;
}

std::optional<endpoint_reported> local_endpoint::OnEarlierRunKnown(
    event_context& context,
    const member_record* earlier) {
  is_earlier_run_unknown_ = false;
  std::optional<endpoint_reported> deferred = std::exchange(deferred_, {});
  if (earlier == nullptr || !earlier->leave) {
    return deferred;
  }
  const endpoint_leave& leave = *earlier->leave;
  if (report_) {
    if (leave.is_final && IsCurrentRun(leave.endpoint)) {
      Depart(leave.endpoint, context.now() - leaving_grace_);
    }
    return std::nullopt;
  }
  report_ = endpoint_reported{.service = earlier->service,
                              .state = endpoint_state::kLeaving,
                              .run = leave.endpoint.run,
                              .slots = earlier->slots,
                              .name = leave.endpoint.name,
                              .sequence = leave.sequence};
  leaving_since_ = context.now() - leaving_grace_;
  if (leave.is_final) {
    departed_ = leave.endpoint;
  }
  last_heard_at_ = context.now();
  ScheduleSilenceCheck(context);
  return deferred;
}

std::optional<endpoint_leave> local_endpoint::leave() const {
  if (!report_ || !leaving_since_) {
    return std::nullopt;
  }
  return endpoint_leave{.endpoint = current_run(),
                        .sequence = report_->sequence,
                        .is_final = has_departed()};
}

// Responses to health probes name no run, and neither do some deregistrations.
bool local_endpoint::IsCurrentRun(const endpoint_run& run) const {
  const bool is_either_unknown =
      run.run == incarnation() || report_->run == incarnation();
  return run.name == report_->name &&
         (is_either_unknown || run.run == report_->run);
}

// Responses to health probes name no run, and deregistrations need not, so the
// first report that does is not a replacement.
bool local_endpoint::IsFirstReportWithRun(
    const endpoint_reported& report) const {
  return report_->run == incarnation() && report.run != incarnation() &&
         !report.name.value().empty() && report.name == report_->name;
}

// A report with `kGone` that names another endpoint or an earlier run is stale.
report_result local_endpoint::OnGone(event_context& context,
                                     const endpoint_reported& report) {
  if (!report_) {
    OnGoneBeforeFirstReport(context, report);
    return report_result::kChanged;
  }
  const endpoint_run run{report.name, report.run};
  if (!IsCurrentRun(run)) {
    if (report.run <= report_->run) {
      return report_result::kIgnored;
    }
    OnGoneBeforeFirstReport(context, report);
    return report_result::kReplaced;
  }
  return Depart(run, context.now());
}

report_result local_endpoint::Depart(const endpoint_run& run, instant since) {
  if (run.run != incarnation()) {
    report_->run = run.run;
  }
  departed_ = current_run();
  const bool was_leaving = report_->state == endpoint_state::kLeaving;
  report_->state = endpoint_state::kLeaving;
  leaving_since_ = leaving_since_ ? std::min(*leaving_since_, since) : since;
  return was_leaving ? report_result::kAccepted : report_result::kChanged;
}

report_result local_endpoint::OnLeavingAnswered(event_context& context) {
  if (!report_ || has_departed()) {
    return report_result::kIgnored;
  }
  return Depart(current_run(), context.now());
}

// The time in which callers learn of the leave began when the other node
// received the answer.
report_result local_endpoint::OnLeavingNotice(event_context& context,
                                              const endpoint_run& run) {
  if (!report_) {
    departed_ = run;
  }
  if (!report_ || !IsCurrentRun(run) || has_departed()) {
    return report_result::kIgnored;
  }
  return Depart(run, context.now() - leaving_grace_);
}

// The node may have restarted while the endpoint was leaving. The
// deregistration is acknowledged like any other, and a health probe or a report
// sent before it may still arrive.
void local_endpoint::OnGoneBeforeFirstReport(event_context& context,
                                             const endpoint_reported& report) {
  report_ = report;
  report_->state = endpoint_state::kLeaving;
  leaving_since_ = context.now();
  departed_ = endpoint_run{report.name, report.run};
}

void local_endpoint::OnUnreachable(event_context& context) {
  unreachable_until_ = context.now() + kUnreachableTime;
}

void local_endpoint::OnAnswered(event_context& context) {
  last_heard_at_ = context.now();
}

bool local_endpoint::OnTimer(event_context& context) {
  if (SilenceDeadline() > context.now()) {
    ScheduleSilenceCheck(context);
    return false;
  }
  is_silent_ = true;
  context.Emit(log_message{"endpoint is silent"});
  return true;
}

std::optional<error_kind> local_endpoint::RefusalFor(
    instant now,
    const service_name& service) const {
  if (!report_ || is_silent_ || report_->service != service) {
    return error_kind::kNoEndpoint;
  }
  if (now < unreachable_until_) {
    return error_kind::kEndpointUnreachable;
  }
  if (leaving_since_ && now - *leaving_since_ >= leaving_grace_) {
    return error_kind::kEndpointLeaving;
  }
  return std::nullopt;
}

// An endpoint that deregistered before this node started answers probes and
// requests for some seconds, but sends no more reports.
instant local_endpoint::SilenceDeadline() const {
  return report_->is_probe_result ? node_started_at_ + kProbeValidity
                                  : last_heard_at_ + kEndpointSilenceTimeout;
}

// The timer is rescheduled when it fires rather than at every answer.
void local_endpoint::ScheduleSilenceCheck(event_context& context) {
  context.timers().Schedule({timer_owner::kEndpoint}, SilenceDeadline());
}

}  // namespace auburnfold
