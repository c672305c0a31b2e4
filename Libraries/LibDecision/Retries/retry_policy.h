#ifndef LIBDECISION_RETRIES_RETRY_POLICY_H_
#define LIBDECISION_RETRIES_RETRY_POLICY_H_

#include "LibDecision/Calls/outgoing_call.h"
#include "LibDecision/Pressure/pressure_memory.h"
#include "LibDecision/Retries/retry_share.h"
#include "LibDecision/Retries/retry_verdict.h"
#include "LibDecision/Retries/service_retry_shares.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// The endpoint turned the request away, or nobody knows what became of it.
bool MayHaveArrived(const outcome& result);

/// Decides whether a failed attempt of a call is tried again.
class retry_policy {
 public:
  retry_policy(const pressure_memory& pressure, const node_options& options)
      : pressure_(pressure), options_(options) {}

  void OnFirstAttempt(event_context& context, const request_metadata& metadata);
  /// Another run does no harm and can still be useful.
  static bool IsSafe(instant now,
                     const outgoing_call& open,
                     const outcome& result);
  /// Takes one retry of the shares if it allows it.
  retry_verdict Judge(event_context& context,
                      const outgoing_call& open,
                      const outcome& result);
  /// Whether a retry after `result` is one of those that the tree may spend.
  bool TakesAllowance(const outcome& result) const;

 private:
  bool RefusesAsWhole(instant now,
                      const outgoing_call& open,
                      const outcome& result) const;
  bool TakeShare(event_context& context,
                 const outgoing_call& open,
                 const outcome& result);

  const pressure_memory& pressure_;
  const node_options& options_;
  retry_share share_;
  service_retry_shares service_shares_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_POLICY_H_
