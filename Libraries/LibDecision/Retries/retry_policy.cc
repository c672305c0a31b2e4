#include "LibDecision/Retries/retry_policy.h"

#include "LibDecision/Idempotency/idempotency_key_registry.h"
#include "LibDecision/Retries/retry_priority.h"

namespace auburnfold {

namespace {

// Limit of the baseline `retry_mode::kThreeAttempts`.
constexpr std::size_t kMaxAttempts = 3;

// Attempts that did not reach an endpoint put no load on endpoints, but each
// takes the time of a hop.
constexpr std::uint16_t kMaxUnreachedAttempts = 3;

// One crash may have another cause. After the second, a retry risks one more
// endpoint for a request that has probably crashed both.
constexpr std::uint16_t kMaxCrashesPerCall = 2;

bool IsOverloadError(error_kind kind) {
  return kind == error_kind::kOverloaded ||
         kind == error_kind::kQueueDeadline ||
         kind == error_kind::kTenantOverShare;
}

}  // namespace

bool MayHaveReachedEndpoint(const outcome& result) {
  return result.execution != execution_state::kNotExecuted ||
         result.error == error_kind::kEndpointBusy ||
         result.error == error_kind::kEndpointReplaced;
}

void retry_policy::OnFirstAttempt(event_context& context,
                                  const request_metadata& metadata) {
  node_budget_.OnFirstAttempt();
  service_budgets_.OnFirstAttempt(context.now(), metadata.service,
                                  metadata.is_repeat);
}

bool retry_policy::IsSafeToRetry(instant now,
                                 const outgoing_call& open,
                                 const outcome& result) {
  if (open.deadline <= now || open.crashes >= kMaxCrashesPerCall) {
    return false;
  }
  const bool is_bound_to_home =
      open.metadata.key && idempotency_key_registry::HomeOf(*open.metadata.key);
  if (is_bound_to_home) {
    // The home of the key executes the request once, however often it is sent.
    // If the home itself answered, a retry brings nothing new.
    return !result.peer;
  }
  const bool is_not_executed =
      result.execution == execution_state::kNotExecuted;
  const bool is_harmless = is_not_executed || open.is_idempotent;
  return is_harmless &&
         (TraitsOf(*result.error).is_retryable || !is_not_executed);
}

retry_decision retry_policy::Decide(event_context& context,
                                    const outgoing_call& open,
                                    const outcome& result) {
  if (!IsSafeToRetry(context.now(), open, result)) {
    return retry_decision::kNotRetryable;
  }
  if (options_.retries == retry_mode::kThreeAttempts) {
    return open.history.tried_nodes.size() < kMaxAttempts
               ? retry_decision::kAllowed
               : retry_decision::kTooManyAttempts;
  }
  const bool counts_against_allowance = CountsAgainstAllowance(result);
  if (!counts_against_allowance &&
      open.unreached_attempts > kMaxUnreachedAttempts) {
    return retry_decision::kTooManyAttempts;
  }
  if (counts_against_allowance && open.allowance == 0) {
    context.Count(counter::kRetriesDeniedByAllowance);
    return retry_decision::kAllowanceExhausted;
  }
  if (IsOverloaded(context.now(), open, result)) {
    context.Count(counter::kRetriesDeniedByPressure);
    return retry_decision::kServiceOverloaded;
  }
  if (counts_against_allowance && !SpendBudget(context, open, result)) {
    context.Count(counter::kRetriesDeniedByNodeShare);
    return retry_decision::kBudgetExhausted;
  }
  return retry_decision::kAllowed;
}

bool retry_policy::CountsAgainstAllowance(const outcome& result) const {
  switch (options_.retries) {
    case retry_mode::kAllowance:
      return true;
    case retry_mode::kArrivals:
      return MayHaveReachedEndpoint(result);
    case retry_mode::kThreeAttempts:
      return false;
  }
  return true;
}

bool retry_policy::IsOverloaded(instant now,
                                const outgoing_call& open,
                                const outcome& result) const {
  return IsOverloadError(*result.error) &&
         pressure_.IsOverloaded(now, ServiceClassOf(open));
}

bool retry_policy::SpendBudget(event_context& context,
                               const outgoing_call& open,
                               const outcome& result) {
  if (options_.retries != retry_mode::kArrivals) {
    return node_budget_.TrySpend();
  }
  const bool is_granted = result.peer && result.peer->grants_retry;
  return is_granted ||
         service_budgets_.TrySpend(context.now(), open.metadata.service,
                                   RetryPriorityOf(open.metadata));
}

}  // namespace auburnfold
