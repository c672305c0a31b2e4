#ifndef LIBCLIENT_CLIENT_ANSWER_H_
#define LIBCLIENT_CLIENT_ANSWER_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/error_kind.h"

namespace auburnfold {

/// How a call, or one send of it, ended.
struct client_answer {
  /// Unset: the answer is whole and the endpoint's own.
  std::optional<error_kind> error;
  /// What is certain about all sends together.
  execution_state execution = execution_state::kUnknown;
  /// 0 if no node answered.
  unsigned status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// When to come back; unset if the same call should not.
  std::optional<std::chrono::milliseconds> retry_after;
  /// Times that the call was sent or tried to be sent.
  std::uint16_t sends = 0;

  bool is_complete() const { return !error.has_value(); }
};

}  // namespace auburnfold

#endif  // LIBCLIENT_CLIENT_ANSWER_H_
