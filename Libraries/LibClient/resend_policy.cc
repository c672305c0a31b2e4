#include "LibClient/resend_policy.h"

namespace auburnfold {

namespace {

constexpr std::chrono::milliseconds kAfterUnknown{50};

}  // namespace

std::optional<std::chrono::milliseconds> WaitBeforeResend(
    const client_call& call,
    const client_answer& answer) {
  if (answer.is_complete()) {
    return std::nullopt;
  }
  switch (answer.execution) {
    case execution_state::kNotExecuted:
      return answer.retry_after;
    case execution_state::kUnknown:
      if (call.is_idempotent || call.key) {
        return answer.retry_after.value_or(kAfterUnknown);
      }
      return std::nullopt;
    case execution_state::kExecuted:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace auburnfold
