#include "LibDecision/Retries/service_retry_budgets.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

// A service can handle 0.2 arrivals beyond the first of each request, measured
// over 10 s. Credits last for 10 s, so the retries spent in 10 s were credited
// in that period or the one before, and the nodes of callers and the nodes of
// endpoints both earn credits. The total is therefore at most four times 0.045,
// which is 0.18.
constexpr double kRetriesPerAttempt = 0.045;
constexpr duration kSliceDuration = std::chrono::seconds(1);
/// Credit of a node that has just started. The service can handle 48 additional
/// repeats for about 16 nodes, and 105 for 75 nodes.
constexpr double kInitialRetries = 1;
/// Upper bound of the debt from repeats that this node did not decide on.
constexpr double kMaxDebt = 100;

// Fractions of the credited retries that a retry must leave to those with a
// higher priority. Scarce retries help most where one success completes a root
// call or saves the answers to earlier calls, less where nothing is lost yet,
// and least where requests are refused early. See docs/design/retry-share.md.
constexpr double kReservedFromLowPriority = 0.9;
constexpr double kReservedFromFirstCalls = 0.8;
constexpr double kReservedFromLaterCalls = 0.1;

double ReservedFraction(retry_priority priority) {
  switch (priority) {
    case retry_priority::kLowPriority:
      return kReservedFromLowPriority;
    case retry_priority::kFirstCall:
      return kReservedFromFirstCalls;
    case retry_priority::kLaterCall:
      return kReservedFromLaterCalls;
    case retry_priority::kRootCall:
      return 0;
  }
  return 0;
}

}  // namespace

void service_retry_budgets::OnFirstAttempt(instant now,
                                           const service_name& service,
                                           bool is_repeat) {
  service_budget& budget = FindOrCreateBudget(now, service);
  if (is_repeat) {
    return budget.Spend(1);
  }
  budget.Credit(kRetriesPerAttempt);
}

bool service_retry_budgets::TrySpend(instant now,
                                     const service_name& service,
                                     retry_priority priority) {
  service_budget& budget = FindOrCreateBudget(now, service);
  if (budget.available() < 1 + budget.credited() * ReservedFraction(priority)) {
    return false;
  }
  budget.Spend(1);
  return true;
}

service_retry_budgets::service_budget&
service_retry_budgets::FindOrCreateBudget(instant now,
                                          const service_name& service) {
  const auto [found, is_new] = budgets_.try_emplace(service);
  service_budget& budget = found->second;
  budget.AdvanceTo(now);
  if (is_new) {
    budget.Credit(kInitialRetries);
  }
  return budget;
}

void service_retry_budgets::service_budget::AdvanceTo(instant now) {
  const std::int64_t number = now.time_since_epoch() / kSliceDuration;
  const std::int64_t first_new = std::max(
      current_slice + 1, number - static_cast<std::int64_t>(kSliceCount) + 1);
  for (std::int64_t each = first_new; each <= number; ++each) {
    slices[static_cast<std::size_t>(each) % kSliceCount] = {};
  }
  current_slice = std::max(current_slice, number);
}

void service_retry_budgets::service_budget::Credit(double retries) {
  slice& newest = slices[static_cast<std::size_t>(current_slice) % kSliceCount];
  newest.credited += retries;
  const double repaid = std::min(debt, retries);
  debt -= repaid;
  newest.available += retries - repaid;
}

// Spends the oldest credits first, since they expire next.
void service_retry_budgets::service_budget::Spend(double retries) {
  for (std::size_t i = 1; i <= kSliceCount && retries > 0; ++i) {
    slice& oldest =
        slices[(static_cast<std::size_t>(current_slice) + i) % kSliceCount];
    const double taken = std::min(oldest.available, retries);
    oldest.available -= taken;
    retries -= taken;
  }
  debt = std::min(debt + retries, kMaxDebt);
}

double service_retry_budgets::service_budget::available() const {
  double sum = 0;
  for (const slice& each : slices) {
    sum += each.available;
  }
  return sum;
}

double service_retry_budgets::service_budget::credited() const {
  double sum = 0;
  for (const slice& each : slices) {
    sum += each.credited;
  }
  return sum;
}

}  // namespace auburnfold
