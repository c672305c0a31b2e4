#include "auburnfold-load/retry_policy.h"

#include <algorithm>

namespace auburnfold {

namespace {

using milliseconds = std::chrono::milliseconds;

bool IsFailure(call_outcome outcome) {
  switch (outcome) {
    case call_outcome::kRefused:
    case call_outcome::kUnknown:
    case call_outcome::kFailed:
      return true;
    case call_outcome::kUseful:
    case call_outcome::kLate:
    case call_outcome::kForeign:
    case call_outcome::kPartial:
    case call_outcome::kUnsent:
      return false;
  }
  return false;
}

milliseconds Spread(milliseconds wait, double jitter) {
  return std::chrono::duration_cast<milliseconds>(wait * (0.5 + jitter));
}

}  // namespace

std::optional<milliseconds> WaitBeforeResend(const client_retries& retries,
                                             const load_class& called,
                                             const send_verdict& verdict,
                                             std::uint32_t sends,
                                             double jitter) {
  if (sends >= retries.tries || !IsFailure(verdict.outcome)) {
    return std::nullopt;
  }
  if (retries.is_hard) {
    return Spread(retries.backoff, jitter);
  }
  const bool is_safe = verdict.outcome == call_outcome::kRefused ||
                       called.is_idempotent || called.uses_key;
  const bool is_invited = verdict.outcome != call_outcome::kRefused ||
                          verdict.retry_after.has_value();
  if (!is_safe || !is_invited) {
    return std::nullopt;
  }
  const milliseconds backoff = retries.backoff * (1 << (sends - 1));
  return std::max(Spread(backoff, jitter),
                  verdict.retry_after.value_or(milliseconds(0)));
}

}  // namespace auburnfold
