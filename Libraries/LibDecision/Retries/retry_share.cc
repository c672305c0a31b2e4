#include "LibDecision/Retries/retry_share.h"

#include <algorithm>

namespace auburnfold {

namespace {

// A service bears 0.2 arrivals beyond the first of each request; the rest is
// left for requests that cross the ends of the window in which they count.
constexpr double kServiceRetriesPerAttempt = 0.15;
// Of the 48 that a service bears on top, shared by about sixteen nodes.
constexpr double kMostServiceRetries = 4;
/// What is less important may not use the last retries.
constexpr double kKeptForImportant = 2;
/// Repeats that were not this node's choice are remembered up to here.
constexpr double kDeepestDebt = -100;

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

void service_retry_shares::OnFirstAttempt(const service_name& service,
                                          bool is_repeat) {
  double& tokens =
      tokens_.try_emplace(service, kMostServiceRetries).first->second;
  const double earned = is_repeat ? -1 : kServiceRetriesPerAttempt;
  tokens = std::clamp(tokens + earned, kDeepestDebt, kMostServiceRetries);
}

bool service_retry_shares::TryTake(const service_name& service,
                                   bool is_important) {
  double& tokens =
      tokens_.try_emplace(service, kMostServiceRetries).first->second;
  const double needed = is_important ? 1 : 1 + kKeptForImportant;
  if (tokens < needed) {
    return false;
  }
  tokens -= 1;
  return true;
}

}  // namespace auburnfold
