#include "LibDecision/Retries/retry_policy.h"

#include "LibDecision/Once/key_register.h"
#include "LibDecision/Retries/retry_claim.h"

namespace auburnfold {

namespace {

// Of the three-tries baseline.
constexpr std::size_t kMostTries = 3;

// Attempts that no endpoint saw cost the endpoints nothing, but each takes the
// time of a hop.
constexpr std::uint16_t kMostUnseenAttempts = 3;

bool IsOverload(error_kind kind) {
  return kind == error_kind::kOverloaded ||
         kind == error_kind::kQueueDeadline ||
         kind == error_kind::kTenantOverShare;
}

}  // namespace

bool MayHaveArrived(const outcome& result) {
  return result.execution != execution_state::kNotExecuted ||
         result.error == error_kind::kEndpointBusy ||
         result.error == error_kind::kEndpointReplaced;
}

void retry_policy::OnFirstAttempt(event_context& context,
                                  const request_metadata& metadata) {
  share_.OnFirstAttempt();
  service_shares_.OnFirstAttempt(context.now(), metadata.service,
                                 metadata.is_repeat);
}

bool retry_policy::IsSafe(instant now,
                          const outgoing_call& open,
                          const outcome& result) {
  if (open.deadline <= now) {
    return false;
  }
  const bool is_bound_to_home =
      open.metadata.key && key_register::HomeOf(*open.metadata.key);
  if (is_bound_to_home) {
    // The home runs the work once, however often it is sent; if the home
    // itself answered, it has nothing better to say.
    return !result.peer;
  }
  const bool is_not_run = result.execution == execution_state::kNotExecuted;
  const bool is_harmless = is_not_run || open.is_idempotent;
  return is_harmless && (TraitsOf(*result.error).is_retryable || !is_not_run);
}

retry_verdict retry_policy::Judge(event_context& context,
                                  const outgoing_call& open,
                                  const outcome& result) {
  if (!IsSafe(context.now(), open, result)) {
    return retry_verdict::kUseless;
  }
  if (options_.retries == retry_mode::kThreeTries) {
    return open.history.tried.size() < kMostTries
               ? retry_verdict::kAllowed
               : retry_verdict::kTooManyTries;
  }
  const bool takes_allowance = TakesAllowance(result);
  if (!takes_allowance && open.unseen_attempts > kMostUnseenAttempts) {
    return retry_verdict::kTooManyTries;
  }
  if (takes_allowance && open.allowance == 0) {
    context.Count(counter::kRetriesDeniedByAllowance);
    return retry_verdict::kNoAllowance;
  }
  if (RefusesAsWhole(context.now(), open, result)) {
    context.Count(counter::kRetriesDeniedByPressure);
    return retry_verdict::kServiceRefuses;
  }
  if (takes_allowance && !TakeShare(context, open, result)) {
    context.Count(counter::kRetriesDeniedByNodeShare);
    return retry_verdict::kNoShare;
  }
  return retry_verdict::kAllowed;
}

bool retry_policy::TakesAllowance(const outcome& result) const {
  switch (options_.retries) {
    case retry_mode::kAllowance:
      return true;
    case retry_mode::kArrivals:
      return MayHaveArrived(result);
    case retry_mode::kThreeTries:
      return false;
  }
  return true;
}

bool retry_policy::RefusesAsWhole(instant now,
                                  const outgoing_call& open,
                                  const outcome& result) const {
  return IsOverload(*result.error) &&
         pressure_.RefusesAsWhole(now, CalledBy(open));
}

bool retry_policy::TakeShare(event_context& context,
                             const outgoing_call& open,
                             const outcome& result) {
  if (options_.retries != retry_mode::kArrivals) {
    return share_.TryTake();
  }
  const bool is_granted = result.peer && result.peer->grants_retry;
  return is_granted ||
         service_shares_.TryTake(context.now(), open.metadata.service,
                                 ClaimOf(open.metadata));
}

}  // namespace auburnfold
