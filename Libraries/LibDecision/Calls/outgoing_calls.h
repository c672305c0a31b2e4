#ifndef LIBDECISION_CALLS_OUTGOING_CALLS_H_
#define LIBDECISION_CALLS_OUTGOING_CALLS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Admission/service_times.h"
#include "LibDecision/Calls/answer_sizes.h"
#include "LibDecision/Calls/outgoing_call.h"
#include "LibDecision/Connections/connection_monitor.h"
#include "LibDecision/Idempotency/idempotency_key_registry.h"
#include "LibDecision/Membership/membership.h"
#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/Quarantine/quarantine.h"
#include "LibDecision/Quotas/tenant_quotas.h"
#include "LibDecision/Retries/retry_allowances.h"
#include "LibDecision/Retries/retry_policy.h"
#include "LibDecision/Routes/route_table.h"
#include "LibDecision/Routing/router.h"
#include "LibDecision/Table/policy_table.h"
#include "LibDecision/Tenants/caller_authenticator.h"
#include "LibDecision/ended_child.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"
#include "LibDecision/stop_schedule.h"

namespace auburnfold {

/// The work at the local endpoint that a call is made for.
struct parent_work {
  request_metadata metadata;
  /// Its calls that got a useful answer so far.
  std::uint16_t answered_child_calls = 0;
};

/// Carries out calls of external callers and of the local endpoint. Each call
/// becomes one or more attempts at other nodes and ends with exactly one
/// answer.
class outgoing_calls {
 public:
  outgoing_calls(const policy_table& policies,
                 route_table& routes,
                 const membership& members,
                 retry_allowances& allowances,
                 quarantine& request_quarantine,
                 tenant_quotas& quotas,
                 pressure_tracker& pressure,
                 caller_authenticator& authenticator,
                 const node_options& options)
      : policies_(policies),
        routes_(routes),
        members_(members),
        allowances_(allowances),
        quarantine_(request_quarantine),
        quotas_(quotas),
        pressure_(pressure),
        authenticator_(authenticator),
        options_(options),
        stop_(options),
        retry_policy_(pressure, options),
        router_(members) {}

  /// `parent` is null if this node knows none.
  void OnArrived(event_context& context,
                 const call_arrived& arrived,
                 const parent_work* parent);
  void OnCancelled(event_context& context, call_id call);
  /// Continues, or refuses, a call that waited for its tenant's quota.
  void OnQuotaDecided(event_context& context, const quota_verdict& verdict);
  void OnSent(event_context& context, const attempt_sent& sent);
  void OnAttemptFinished(event_context& context,
                         const attempt_finished& finished);
  void OnConnectionClosed(connection_id closed) {
    connections_.OnClosed(closed);
  }
  void OnTimer(event_context& context, std::uint64_t key);
  void OnConnectionTimer(event_context& context) {
    connections_.OnTimer(context);
  }
  /// Retries or refuses the calls whose request or answer was lost.
  void OnAttemptReports(event_context& context,
                        const attempt_reports_received& received);
  /// Once the stop grace period is over, only calls made for work at the local
  /// endpoint are carried out. No call is sent that would be aborted.
  void OnStopRequested(event_context& context) { stop_.Begin(context.now()); }
  /// Refuses all open calls, since the stop has reached its time limit.
  void AbortAll(event_context& context);
  /// Refuses every open call made for `parent`, which has ended.
  void CancelChildCallsOf(event_context& context, work_id parent);

  /// Returns the calls made for work that ended since the last
  /// `TakeEndedChildCalls`.
  std::vector<ended_child> TakeEndedChildCalls();

  std::size_t open_count() const { return calls_.size(); }
  /// Whether `call` is open and may be executed once at most.
  bool MustRunOnce(call_id call) const;
  /// A size in bytes that few answers to the class exceed; the maximum if it is
  /// not known.
  std::uint64_t ExpectedAnswerSize(const class_name& request_class) const {
    return answer_sizes_.ExpectedSize(request_class);
  }
  /// The node that `attempt` was sent to; unset if it is not open.
  std::optional<node_id> NodeOf(attempt_id attempt) const;
  /// When `attempt` was started, on the clock of `event_context::elapsed_now`;
  /// unset if it is not open.
  std::optional<instant> SentAt(attempt_id attempt) const;
  /// When `node` last answered an attempt; the clock's origin if never.
  instant LastAnsweredAt(node_id node) const {
    return router_.LastAnsweredAt(node);
  }

 private:
  using call_state = outgoing_call;
  using call_map = std::unordered_map<call_id, call_state>;

  /// Sets service, class, objective and tenant from the route that the target
  /// of `arrived` matches. Returns the error if there is no such route, or if
  /// the caller may not use it.
  std::optional<error_kind> ApplyRoute(event_context& context,
                                       const call_arrived& arrived,
                                       const parent_work* parent,
                                       request_metadata& metadata);
  /// Whether an attempt that starts now is expected to end before a stop aborts
  /// it.
  bool HasTimeFor(instant now, const call_state& call) const;
  /// Admits a call that its tenant's quota allows.
  void Begin(event_context& context, call_id id, call_state& call);
  void RefuseByQuota(event_context& context,
                     call_id id,
                     const call_state& call);
  void Send(event_context& context, call_id id, call_state& call);
  /// Returns the member for the next attempt. Refuses the call and returns
  /// null if there is none.
  const member_record* ChooseMember(event_context& context,
                                    call_id id,
                                    const call_state& call);
  /// As above, for a call with an issued key: only its home may execute it.
  const member_record* ChooseKeyHome(event_context& context,
                                     call_id id,
                                     const key_home& home);
  void LogReport(event_context& context,
                 decision_kind kind,
                 const attempt_report& report);
  /// The request never reached the other node.
  void OnRequestLost(event_context& context, const attempt_report& lost);
  /// The answer was sent, but did not arrive.
  void OnAnswerLost(event_context& context, const attempt_report& lost);
  /// Ends the attempt in flight because its connection is silent.
  void DropAttempt(event_context& context,
                   call_state& call,
                   const attempt_report& lost);
  /// Handles an attempt that ended without a complete answer.
  void RetryOrRefuse(event_context& context,
                     call_id id,
                     call_state& call,
                     const outcome& result);
  void Refuse(event_context& context,
              call_id id,
              error_kind kind,
              duration retry_after);
  /// Refuses a call because the rate limits of all endpoints are used up until
  /// `next_send_at`.
  void RefuseByRate(event_context& context, call_id id, instant next_send_at);
  void Close(event_context& context, call_id id);
  /// What is certain about the execution of a call, over all its attempts.
  static execution_state ExecutionStateOf(const call_state& call);
  std::uint16_t InitialAllowance(const call_arrived& arrived,
                                 const row_settings& row);
  bool ShouldRefuseEarly(event_context& context, const call_state& call);
  void ReclaimAllowance(call_state& call, const outcome& result) const;
  /// Takes one retry if the complete answer reports a failure of the endpoint
  /// itself and another execution may succeed.
  bool TryRetryFailedAnswer(event_context& context,
                            call_state& call,
                            const outcome& result);
  /// Takes one retry if the retry policy allows it.
  bool TryRetry(event_context& context,
                call_state& call,
                const outcome& result);
  duration RetryAfterFor(event_context& context,
                         const call_state& call,
                         error_kind kind) const;

  /// A decision record with the fields common to all records of a call.
  decision_record Describe(event_context& context,
                           decision_kind kind,
                           const call_state& call) const;

  const policy_table& policies_;
  route_table& routes_;
  const membership& members_;
  retry_allowances& allowances_;
  quarantine& quarantine_;
  tenant_quotas& quotas_;
  pressure_tracker& pressure_;
  caller_authenticator& authenticator_;
  const node_options& options_;
  stop_schedule stop_;
  retry_policy retry_policy_;
  router router_;
  connection_monitor connections_;
  call_map calls_;
  std::unordered_map<attempt_id, call_id> calls_by_attempt_;
  std::unordered_multimap<work_id, call_id> child_calls_by_parent_;
  std::vector<ended_child> ended_child_calls_;
  std::uint64_t next_attempt_id_ = 1;
  /// From the start of an attempt to its complete answer.
  service_times answer_times_;
  answer_sizes answer_sizes_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLS_OUTGOING_CALLS_H_
