#include "LibClient/client_retry_policy.h"

namespace auburnfold {

namespace {

constexpr std::chrono::milliseconds kUnknownStateRetryDelay{50};

}  // namespace

std::optional<std::chrono::milliseconds> ClientRetryDelay(
    const client_call& call,
    const call_result& answer) {
  if (answer.is_whole()) {
    return std::nullopt;
  }
  switch (answer.ran) {
    case run_state::kNotRun:
      return answer.retry_after;
    case run_state::kUnknown:
      if (call.is_idempotent || call.key) {
        return answer.retry_after.value_or(kUnknownStateRetryDelay);
      }
      return std::nullopt;
    case run_state::kRan:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace auburnfold
