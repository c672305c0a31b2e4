#include "LibDecision/Work/report_acknowledgements.h"

namespace auburnfold {

void report_acknowledgements::OnReported(event_context& context,
                                         report_id report,
                                         bool announces_leave) {
  if (!announces_leave) {
    return context.Emit(acknowledge_report{report});
  }
  delayed_.push_back({report, context.now() + kMaxAcknowledgementDelay});
  context.timers().Schedule({timer_owner::kReportAcknowledgement},
                            delayed_.front().due);
}

void report_acknowledgements::OnRecordStored(event_context& context) {
  for (const delayed_report& delayed : delayed_) {
    context.Emit(acknowledge_report{delayed.report});
  }
  delayed_.clear();
}

void report_acknowledgements::OnTimer(event_context& context) {
  while (!delayed_.empty() && delayed_.front().due <= context.now()) {
    const report_id report = delayed_.front().report;
    delayed_.pop_front();
    if (is_stopping_) {
      context.Emit(log_message{"a leave is refused: it could not be stored"});
      context.Emit(refuse_report{report, error_kind::kNodeStopping});
    } else {
      context.Emit(acknowledge_report{report});
    }
  }
  if (!delayed_.empty()) {
    context.timers().Schedule({timer_owner::kReportAcknowledgement},
                              delayed_.front().due);
  }
}

}  // namespace auburnfold
