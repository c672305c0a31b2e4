#include "LibDecision/Retries/retry_budget.h"

#include <algorithm>

namespace auburnfold {

void retry_budget::OnFirstAttempt() {
  tokens_ = std::min(tokens_ + per_attempt_, max_tokens_);
}

bool retry_budget::TrySpend() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace auburnfold
