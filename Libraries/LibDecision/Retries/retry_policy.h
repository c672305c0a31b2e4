#ifndef LIBDECISION_RETRIES_RETRY_POLICY_H_
#define LIBDECISION_RETRIES_RETRY_POLICY_H_

#include "LibDecision/Calls/outgoing_call.h"
#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/Retries/retry_budget.h"
#include "LibDecision/Retries/retry_decision.h"
#include "LibDecision/Retries/service_retry_budgets.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// Whether the request reached the endpoint, or may have: the endpoint refused
/// it, or its outcome is unknown.
bool MayHaveReachedEndpoint(const outcome& result);

/// Decides whether a failed attempt of a call is retried.
class retry_policy {
 public:
  retry_policy(const pressure_tracker& pressure, const node_options& options)
      : pressure_(pressure), options_(options) {}

  void OnFirstAttempt(event_context& context, const request_metadata& metadata);
  /// Whether executing the call again is harmless and may still succeed in
  /// time.
  static bool IsSafeToRetry(instant now,
                            const outgoing_call& open,
                            const outcome& result);
  /// Spends one retry of the budget if it allows the retry.
  retry_decision Decide(event_context& context,
                        const outgoing_call& open,
                        const outcome& result);
  /// Whether a retry after `result` is deducted from the call tree's allowance.
  bool CountsAgainstAllowance(const outcome& result) const;

 private:
  bool IsOverloaded(instant now,
                    const outgoing_call& open,
                    const outcome& result) const;
  bool SpendBudget(event_context& context,
                   const outgoing_call& open,
                   const outcome& result);

  const pressure_tracker& pressure_;
  const node_options& options_;
  retry_budget node_budget_;
  service_retry_budgets service_budgets_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_POLICY_H_
