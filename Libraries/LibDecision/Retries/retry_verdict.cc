#include "LibDecision/Retries/retry_verdict.h"

namespace auburnfold {

std::string_view NameOf(retry_verdict verdict) {
  switch (verdict) {
    case retry_verdict::kAllowed:
      return "allowed";
    case retry_verdict::kUseless:
      return "useless";
    case retry_verdict::kTooManyTries:
      return "too-many-tries";
    case retry_verdict::kNoAllowance:
      return "no-allowance";
    case retry_verdict::kServiceRefuses:
      return "service-refuses";
    case retry_verdict::kNoShare:
      return "no-share";
  }
  return "unknown";
}

}  // namespace auburnfold
