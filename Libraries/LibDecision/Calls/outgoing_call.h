#ifndef LIBDECISION_CALLS_OUTGOING_CALL_H_
#define LIBDECISION_CALLS_OUTGOING_CALL_H_

#include <cstdint>
#include <optional>

#include "LibDecision/Pressure/pressure_memory.h"
#include "LibDecision/Retries/retry_verdict.h"
#include "LibDecision/Routing/attempt_history.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/request_metadata.h"

namespace auburnfold {

/// A call that this node carries out, and what became of it so far.
struct outgoing_call {
  request_metadata metadata;
  std::optional<work_id> parent;
  class_name parent_class;
  instant deadline;
  /// Retries not yet spent here or passed on.
  std::uint16_t allowance = 0;
  /// Retries that travel with the attempt under way.
  std::uint16_t carried = 0;
  attempt_history history;
  std::optional<attempt_id> attempt;
  instant attempt_started;
  /// Bytes of `attempt` may have left this node.
  bool is_attempt_sent = false;
  /// An earlier attempt may have run.
  bool may_have_run = false;
  /// An earlier attempt certainly ran.
  bool has_run = false;
  /// An endpoint's answer was useful.
  bool is_served = false;
  /// Attempts that certainly reached no endpoint.
  std::uint16_t unseen_attempts = 0;
  instant arrived;
  bool is_idempotent = false;
  /// Why the last attempt that failed was tried again, or was not.
  std::optional<retry_verdict> last_retry;
};

/// What the call calls.
inline service_class CalledBy(const outgoing_call& open) {
  return {open.metadata.service, open.metadata.request_class};
}

}  // namespace auburnfold

#endif  // LIBDECISION_CALLS_OUTGOING_CALL_H_
