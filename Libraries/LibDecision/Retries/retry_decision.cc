#include "LibDecision/Retries/retry_decision.h"

namespace auburnfold {

std::string_view NameOf(retry_decision decision) {
  switch (decision) {
    case retry_decision::kAllowed:
      return "allowed";
    case retry_decision::kNotRetryable:
      return "useless";
    case retry_decision::kTooManyAttempts:
      return "too-many-tries";
    case retry_decision::kAllowanceExhausted:
      return "no-allowance";
    case retry_decision::kServiceOverloaded:
      return "service-refuses";
    case retry_decision::kBudgetExhausted:
      return "no-share";
  }
  return "unknown";
}

}  // namespace auburnfold
