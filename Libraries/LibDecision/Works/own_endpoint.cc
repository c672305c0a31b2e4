#include "LibDecision/Works/own_endpoint.h"

namespace auburnfold {

namespace {

// An endpoint that has ended is replaced after seconds; one whose queue of new
// connections was full accepts again much sooner.
constexpr duration kUnreachableMemory = std::chrono::milliseconds(200);

}  // namespace

// A replaced endpoint that was paused may wake and report once more. Its run
// is the lower one, and it is believed only if the newer run has gone silent.
report_effect own_endpoint::OnReported(event_context& context,
                                       const endpoint_reported& report) {
  if (report.state == endpoint_state::kGone) {
    return OnFarewell(context, report);
  }
  if (report_ && IsFirstOfAskedOne(report)) {
    gone_run_ = gone_run_ ? std::optional(report.run) : std::nullopt;
    report_->run = report.run;
  }
  const bool is_other_run = report_ && report.run != report_->run;
  if (is_other_run && report.run < report_->run && !is_silent_) {
    return report_effect::kIgnored;
  }
  const bool is_late = report_ && !is_other_run && report.sequence != 0 &&
                       report.sequence <= report_->sequence;
  if (is_late) {
    return report_effect::kIgnored;
  }
  const bool is_same = report_ && !is_silent_ &&
                       report.state == report_->state &&
                       report.service == report_->service;
  report_ = report;
  if (report.run == gone_run_) {
    report_->state = endpoint_state::kLeaving;
  }
  unreachable_until_ = instant();
  if (report_->state == endpoint_state::kReady) {
    leaving_since_.reset();
  } else if (!leaving_since_ || is_other_run) {
    leaving_since_ = context.now();
  }
  is_silent_ = false;
  last_heard_ = context.now();
  WatchSilence(context);
  if (is_other_run) {
    return report_effect::kReplaced;
  }
  return is_same ? report_effect::kTaken : report_effect::kChanged;
}

// What an endpoint answers when it is asked does not tell its run.
bool own_endpoint::IsFirstOfAskedOne(const endpoint_reported& report) const {
  return report_->run == incarnation() && report.run != incarnation() &&
         !report.name.value().empty() && report.name == report_->name;
}

// A farewell that names another endpoint, or an earlier run, is an old one.
report_effect own_endpoint::OnFarewell(event_context& context,
                                       const endpoint_reported& report) {
  const bool is_own =
      report_ && report.name == report_->name &&
      (report.run == incarnation() || report.run == report_->run);
  if (!is_own) {
    return report_effect::kIgnored;
  }
  gone_run_ = report_->run;
  const bool is_known = report_->state == endpoint_state::kLeaving;
  report_->state = endpoint_state::kLeaving;
  if (!leaving_since_) {
    leaving_since_ = context.now();
  }
  return is_known ? report_effect::kTaken : report_effect::kChanged;
}

void own_endpoint::OnUnreachable(event_context& context) {
  unreachable_until_ = context.now() + kUnreachableMemory;
}

void own_endpoint::OnAnswered(event_context& context) {
  last_heard_ = context.now();
}

bool own_endpoint::OnTimer(event_context& context) {
  if (last_heard_ + kEndpointSilenceLimit > context.now()) {
    WatchSilence(context);
    return false;
  }
  is_silent_ = true;
  context.Emit(log_message{"endpoint is silent"});
  return true;
}

std::optional<error_kind> own_endpoint::RefusalFor(
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

// The timer moves only when it fires, not with every report and answer.
void own_endpoint::WatchSilence(event_context& context) {
  context.timers().Schedule({timer_owner::kEndpoint},
                            last_heard_ + kEndpointSilenceLimit);
}

}  // namespace auburnfold
