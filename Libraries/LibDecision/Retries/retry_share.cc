#include "LibDecision/Retries/retry_share.h"

#include <algorithm>

namespace auburnfold {

void retry_share::OnFirstAttempt() {
  tokens_ = std::min(tokens_ + per_attempt_, max_tokens_);
}

bool retry_share::TryTake() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace auburnfold
