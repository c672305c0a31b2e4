#include "LibClient/client_retry_policy.h"

namespace auburnfold {

namespace {

// Used if no node named a delay, for example because the answer was lost.
constexpr std::chrono::milliseconds kUnknownExecutionRetryDelay{50};

}  // namespace

std::optional<std::chrono::milliseconds> ClientRetryDelay(
    const client_call& call,
    const call_result& result) {
  if (result.is_complete()) {
    return std::nullopt;
  }
  switch (result.execution) {
    case execution_state::kNotExecuted:
      return result.retry_after;
    case execution_state::kUnknown:
      if (call.is_idempotent || call.key) {
        return result.retry_after.value_or(kUnknownExecutionRetryDelay);
      }
      return std::nullopt;
    case execution_state::kExecuted:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace auburnfold
