#ifndef LIBDECISION_WORK_REPORT_ACKNOWLEDGEMENTS_H_
#define LIBDECISION_WORK_REPORT_ACKNOWLEDGEMENTS_H_

#include <deque>

#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// How long an acknowledgement waits for the key-value store. Endpoints wait a
/// second for it.
inline constexpr duration kMaxAcknowledgementDelay =
    std::chrono::milliseconds(500);

/// Acknowledges the reports of the local endpoint. A leave is acknowledged once
/// it is stored, so that it binds the next run of this node too, or after
/// `kMaxAcknowledgementDelay`. A node that stops refuses it then: the next run
/// would know nothing of it, and can acknowledge it itself.
class report_acknowledgements {
 public:
  void OnReported(event_context& context,
                  report_id report,
                  bool announces_leave);
  /// The node's record, and with it the leave, is in the registry.
  void OnRecordStored(event_context& context);
  void OnStopRequested() { is_stopping_ = true; }
  void OnTimer(event_context& context);

 private:
  struct delayed_report {
    report_id report;
    instant due;
  };

  /// In the order of their arrival.
  std::deque<delayed_report> delayed_;
  bool is_stopping_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORK_REPORT_ACKNOWLEDGEMENTS_H_
