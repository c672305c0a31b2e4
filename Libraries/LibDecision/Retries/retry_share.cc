#include "LibDecision/Retries/retry_share.h"

#include <algorithm>

namespace auburnfold {

namespace {

// A service bears 0.2 arrivals beyond the first of each request. Repeats made
// up to three calls above it come on top of its own, so a fourth is left for
// each.
constexpr double kServiceRetriesPerAttempt = 0.05;
// Of the 48 that a service bears on top, shared by about sixteen nodes.
constexpr double kMostServiceRetries = 2;

}  // namespace

void retry_share::OnFirstAttempt() {
  tokens_ = std::min(tokens_ + per_attempt_, most_);
}

bool retry_share::TryTake() {
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

void service_retry_shares::OnFirstAttempt(const service_name& service) {
  ShareOf(service).OnFirstAttempt();
}

bool service_retry_shares::TryTake(const service_name& service) {
  return ShareOf(service).TryTake();
}

retry_share& service_retry_shares::ShareOf(const service_name& service) {
  return shares_
      .try_emplace(service, kServiceRetriesPerAttempt, kMostServiceRetries,
                   kMostServiceRetries)
      .first->second;
}

}  // namespace auburnfold
