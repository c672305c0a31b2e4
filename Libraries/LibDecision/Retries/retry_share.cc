#include "LibDecision/Retries/retry_share.h"

#include <algorithm>

namespace auburnfold {

namespace {

constexpr double kRetriesPerAttempt = 0.1;
constexpr double kMostTokens = 50;

}  // namespace

void retry_share::OnFirstAttempt() {
  tokens_ = std::min(tokens_ + kRetriesPerAttempt, kMostTokens);
}

bool retry_share::TryTake() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

}  // namespace auburnfold
