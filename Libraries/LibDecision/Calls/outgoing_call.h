#ifndef LIBDECISION_CALLS_OUTGOING_CALL_H_
#define LIBDECISION_CALLS_OUTGOING_CALL_H_

#include <cstdint>
#include <optional>

#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/Retries/retry_decision.h"
#include "LibDecision/Routing/attempt_history.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/request_metadata.h"

namespace auburnfold {

/// State of a call that this node carries out.
struct outgoing_call {
  request_metadata metadata;
  std::optional<work_id> parent;
  class_name parent_class;
  instant deadline;
  /// Retries that this node may still spend or hand to an attempt.
  std::uint16_t allowance = 0;
  /// Retries handed to the attempt in flight.
  std::uint16_t attempt_allowance = 0;
  attempt_history history;
  /// The attempt in flight.
  std::optional<attempt_id> attempt;
  instant attempt_started;
  /// The same on the clock of `event_context::elapsed_now`.
  instant elapsed_at_attempt;
  /// The node that `attempt` goes to, and its incarnation.
  node_address attempt_address;
  incarnation attempt_run;
  /// Bytes of `attempt` may have been sent.
  bool is_attempt_sent = false;
  /// `attempt` carries a notice about the endpoint.
  bool carries_notice = false;
  /// An endpoint may have executed an earlier attempt.
  bool may_have_executed = false;
  /// An endpoint is known to have executed an earlier attempt.
  bool has_executed = false;
  /// An endpoint gave a complete answer that reports no failure.
  bool has_useful_answer = false;
  /// Endpoints that crashed while they ran an attempt.
  std::uint16_t crashes = 0;
  /// Attempts that are known to have reached no endpoint.
  std::uint16_t unreached_attempts = 0;
  instant arrived;
  bool is_idempotent = false;
  /// Admitted under the quota of its tenant.
  bool uses_quota = false;
  /// Why the last failed attempt was retried, or was not.
  std::optional<retry_decision> last_retry_decision;
};

/// The service and request class that the call is for.
inline service_class ServiceClassOf(const outgoing_call& call) {
  return {call.metadata.service, call.metadata.request_class};
}

}  // namespace auburnfold

#endif  // LIBDECISION_CALLS_OUTGOING_CALL_H_
