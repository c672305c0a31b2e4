#include "LibDecision/Calls/pipelined_calls.h"

namespace auburnfold {

// An earlier answer may close the connection. The caller then sends again all
// that stood behind it, whatever ran of it.
bool pipelined_calls::Defer(event_context& context,
                            const call_arrived& arrived) const {
  if (!arrived.is_pipelined) {
    return false;
  }
  const bool is_behind_single_run =
      arrived.behind && calls_.MustRunOnce(*arrived.behind);
  if (IsIdempotent(arrived) && !is_behind_single_run) {
    return false;
  }
  context.Count(counter::kCallsDeferred);
  context.Emit(defer_call{arrived.call});
  return true;
}

bool pipelined_calls::IsIdempotent(const call_arrived& arrived) const {
  const request_metadata& metadata = arrived.metadata;
  if (arrived.target) {
    const route* found =
        routes_.Match(arrived.target->host, arrived.target->path);
    return found != nullptr && found->is_idempotent;
  }
  return metadata.purpose == request_purpose::kIssueKey ||
         policies_.SettingsFor(metadata.service, metadata.request_class)
             .is_idempotent;
}

}  // namespace auburnfold
