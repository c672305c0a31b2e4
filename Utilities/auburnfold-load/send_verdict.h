#ifndef AUBURNFOLD_LOAD_SEND_VERDICT_H_
#define AUBURNFOLD_LOAD_SEND_VERDICT_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "auburnfold-load/call_outcome.h"
#include "auburnfold-load/http_connection.h"

namespace auburnfold {

/// What a caller learns from one send.
struct send_verdict {
  call_outcome outcome = call_outcome::kUnknown;
  /// When to come back, if the answer says so.
  std::optional<std::chrono::milliseconds> retry_after;
};

/// Judges an answer's status, headers and body; `request_id` and
/// `request_body` are what was sent.
send_verdict JudgeSend(const exchange_result& result,
                       std::string_view request_id,
                       std::string_view request_body);

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_SEND_VERDICT_H_
