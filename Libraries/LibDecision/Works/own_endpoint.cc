#include "LibDecision/Works/own_endpoint.h"

namespace auburnfold {

// A replaced endpoint that was paused may wake and report once more. Its run
// is the lower one, and it is believed only if the newer run has gone silent.
report_effect own_endpoint::OnReported(step& now,
                                       const endpoint_reported& report) {
  const bool is_other_run = report_ && report.run != report_->run;
  if (is_other_run && report.run < report_->run && !is_silent_) {
    return report_effect::kIgnored;
  }
  report_ = report;
  if (report.state == endpoint_state::kReady) {
    leaving_since_.reset();
  } else if (!leaving_since_ || is_other_run) {
    leaving_since_ = now.now();
  }
  is_silent_ = false;
  last_heard_ = now.now();
  WatchSilence(now);
  return is_other_run ? report_effect::kReplaced : report_effect::kTaken;
}

void own_endpoint::OnAnswered(step& now) {
  last_heard_ = now.now();
}

bool own_endpoint::OnTimer(step& now) {
  if (last_heard_ + kEndpointSilenceLimit > now.now()) {
    WatchSilence(now);
    return false;
  }
  is_silent_ = true;
  now.Emit(log_change{"endpoint is silent"});
  return true;
}

std::optional<error_kind> own_endpoint::RefusalFor(
    instant now,
    const service_name& service) const {
  if (!report_ || is_silent_ || report_->service != service) {
    return error_kind::kNoEndpoint;
  }
  if (leaving_since_ && now - *leaving_since_ >= kLeavingGrace) {
    return error_kind::kEndpointLeaving;
  }
  return std::nullopt;
}

// The timer moves only when it fires, not with every report and answer.
void own_endpoint::WatchSilence(step& now) {
  now.timers().Subscribe({timer_owner::kEndpoint},
                         last_heard_ + kEndpointSilenceLimit);
}

}  // namespace auburnfold
