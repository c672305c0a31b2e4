#ifndef LIBCLIENT_CALL_RESULT_H_
#define LIBCLIENT_CALL_RESULT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/error_kind.h"

namespace auburnfold {

/// The result of a call, or of one attempt.
struct call_result {
  /// Unset if a complete response of the endpoint was received.
  std::optional<error_kind> error;
  /// Whether any attempt was executed at an endpoint.
  execution_state execution = execution_state::kUnknown;
  /// HTTP status; 0 if no complete response was received.
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Delay before a retry; unset if the call should not be retried.
  std::optional<std::chrono::milliseconds> retry_after;
  /// Attempts made, including those that failed to connect.
  std::uint16_t attempts = 0;

  bool is_complete() const { return !error.has_value(); }
};

}  // namespace auburnfold

#endif  // LIBCLIENT_CALL_RESULT_H_
