#include "LibDecision/Calls/pipelined_calls.h"

namespace auburnfold {

// An earlier answer may close the connection. The caller then sends again all
// that stood behind it, whatever ran of it. A call whose answer may find no
// room would run for nothing.
bool pipelined_calls::Defer(event_context& context,
                            const call_arrived& arrived) const {
  if (!arrived.is_pipelined) {
    return false;
  }
  const bool is_behind_single_run =
      arrived.behind && calls_.MustRunOnce(*arrived.behind);
  const route* found = RouteOf(arrived);
  const std::uint64_t expected_bytes = calls_.ExpectedAnswerSize(
      found == nullptr ? arrived.metadata.request_class : found->name);
  if (IsIdempotent(arrived, found) && !is_behind_single_run &&
      expected_bytes <= arrived.answer_room) {
    context.Emit(reserve_answer{arrived.call, expected_bytes});
    return false;
  }
  context.Count(counter::kCallsDeferred);
  context.Emit(defer_call{arrived.call});
  return true;
}

const route* pipelined_calls::RouteOf(const call_arrived& arrived) const {
  return arrived.target
             ? routes_.Match(arrived.target->host, arrived.target->path)
             : nullptr;
}

bool pipelined_calls::IsIdempotent(const call_arrived& arrived,
                                   const route* found) const {
  const request_metadata& metadata = arrived.metadata;
  if (arrived.target) {
    return found != nullptr && found->is_idempotent;
  }
  return metadata.purpose == request_purpose::kIssueKey ||
         policies_.SettingsFor(metadata.service, metadata.request_class)
             .is_idempotent;
}

}  // namespace auburnfold
