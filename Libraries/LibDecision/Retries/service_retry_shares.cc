#include "LibDecision/Retries/service_retry_shares.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

// A service bears 0.2 arrivals beyond the first of each request, counted over
// 10 s. What is earned lasts as long, so what is spent within such a time was
// earned in it or in the one before. The callers' nodes and the nodes beside
// the endpoints earn alike: four times 0.045 at most.
constexpr double kEarnedPerAttempt = 0.045;
constexpr duration kSlice = std::chrono::seconds(1);
/// Held by a node that has just started; the service bears 48 on top for about
/// sixteen nodes, and 105 for seventy-five.
constexpr double kFirstRetries = 1;
/// Repeats that were not this node's choice are remembered up to here.
constexpr double kDeepestDebt = 100;

// Parts of what was earned that are kept for better claims. They served most in
// the simulation of docs/design/retry-share.md.
constexpr double kKeptFromUnimportant = 0.9;
constexpr double kKeptFromFirstCalls = 0.8;
constexpr double kKeptFromLaterCalls = 0.1;

double KeptFrom(retry_claim claim) {
  switch (claim) {
    case retry_claim::kUnimportant:
      return kKeptFromUnimportant;
    case retry_claim::kFirstCall:
      return kKeptFromFirstCalls;
    case retry_claim::kLaterCall:
      return kKeptFromLaterCalls;
    case retry_claim::kSingle:
      return 0;
  }
  return 0;
}

}  // namespace

void service_retry_shares::OnFirstAttempt(instant now,
                                          const service_name& service,
                                          bool is_repeat) {
  share& own = ShareOf(now, service);
  if (is_repeat) {
    return own.Spend(1);
  }
  own.Earn(kEarnedPerAttempt);
}

bool service_retry_shares::TryTake(instant now,
                                   const service_name& service,
                                   retry_claim claim) {
  share& own = ShareOf(now, service);
  if (own.left() < 1 + own.earned() * KeptFrom(claim)) {
    return false;
  }
  own.Spend(1);
  return true;
}

service_retry_shares::share& service_retry_shares::ShareOf(
    instant now,
    const service_name& service) {
  const auto [found, is_new] = shares_.try_emplace(service);
  share& own = found->second;
  own.RollTo(now);
  if (is_new) {
    own.Earn(kFirstRetries);
  }
  return own;
}

void service_retry_shares::share::RollTo(instant now) {
  const std::int64_t number = now.time_since_epoch() / kSlice;
  const std::int64_t first_new =
      std::max(present + 1, number - static_cast<std::int64_t>(kSlices) + 1);
  for (std::int64_t each = first_new; each <= number; ++each) {
    slices[static_cast<std::size_t>(each) % kSlices] = {};
  }
  present = std::max(present, number);
}

void service_retry_shares::share::Earn(double retries) {
  slice& youngest = slices[static_cast<std::size_t>(present) % kSlices];
  youngest.earned += retries;
  const double paid = std::min(debt, retries);
  debt -= paid;
  youngest.left += retries - paid;
}

// What is about to lapse goes first.
void service_retry_shares::share::Spend(double retries) {
  for (std::size_t i = 1; i <= kSlices && retries > 0; ++i) {
    slice& oldest = slices[(static_cast<std::size_t>(present) + i) % kSlices];
    const double taken = std::min(oldest.left, retries);
    oldest.left -= taken;
    retries -= taken;
  }
  debt = std::min(debt + retries, kDeepestDebt);
}

double service_retry_shares::share::left() const {
  double sum = 0;
  for (const slice& each : slices) {
    sum += each.left;
  }
  return sum;
}

double service_retry_shares::share::earned() const {
  double sum = 0;
  for (const slice& each : slices) {
    sum += each.earned;
  }
  return sum;
}

}  // namespace auburnfold
