#ifndef LIBDECISION_WORK_INCOMING_WORK_H_
#define LIBDECISION_WORK_INCOMING_WORK_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibDecision/Admission/admission_controller.h"
#include "LibDecision/Idempotency/idempotency_key_registry.h"
#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/Quarantine/quarantine.h"
#include "LibDecision/Retries/retry_allowances.h"
#include "LibDecision/Retries/service_retry_budgets.h"
#include "LibDecision/Routes/route_table.h"
#include "LibDecision/Table/policy_table.h"
#include "LibDecision/Tenants/key_validity.h"
#include "LibDecision/Work/active_senders.h"
#include "LibDecision/Work/endpoint_crash_detector.h"
#include "LibDecision/Work/local_endpoint.h"
#include "LibDecision/Work/named_rate_limit.h"
#include "LibDecision/Work/received_attempts.h"
#include "LibDecision/ended_child.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"
#include "LibDecision/stop_schedule.h"

namespace auburnfold {

/// Handles the requests that other nodes forward for the local endpoint. Each
/// work item is refused or executed once, and ends with exactly one answer to
/// the forwarding node.
class incoming_work {
 public:
  incoming_work(const policy_table& policies,
                const route_table& routes,
                retry_allowances& allowances,
                quarantine& request_quarantine,
                const pressure_tracker& pressure,
                const key_validity& keys,
                const node_options& options)
      : policies_(policies),
        routes_(routes),
        allowances_(allowances),
        quarantine_(request_quarantine),
        pressure_(pressure),
        keys_validity_(keys),
        stop_(options),
        checks_expected_run_(options.discovery == discovery_mode::kGossip),
        awaits_earlier_run_(options.discovery == discovery_mode::kRegistry),
        counts_arrivals_(options.retries == retry_mode::kArrivals),
        names_tenants_(options.settings == settings_source::kRoutes),
        endpoint_(options.leaving_grace),
        planning_(options.planning),
        admission_(options.limit) {}

  void Start(event_context& context, const node_started& self);
  void OnArrived(event_context& context, const work_arrived& arrived);
  void OnCancelled(event_context& context, work_id work);
  void OnSent(event_context& context, work_id work);
  void OnFinished(event_context& context, const work_finished& finished);
  report_result OnEndpointReported(event_context& context,
                                   const endpoint_reported& report);
  /// See `local_endpoint::OnEarlierRunKnown`.
  std::optional<endpoint_reported> OnEarlierRunKnown(
      event_context& context,
      const member_record* earlier);
  void OnStopRequested(event_context& context);
  /// Whether new work is refused because the grace period after a stop request
  /// is over.
  bool is_stop_grace_over(instant now) const { return stop_.IsGraceOver(now); }
  /// The grace period after a stop request is over: work that still waits is
  /// refused.
  void RefuseQueued(event_context& context);
  /// Refuses or abandons all work, since the stop has reached its time limit.
  void AbortAll(event_context& context);
  void OnTimer(event_context& context, timer_id due);
  /// Returns whether the endpoint has just become silent.
  bool OnEndpointTimer(event_context& context) {
    return endpoint_.OnTimer(context);
  }

  /// Whether an answer or a notice has changed the endpoint's state since the
  /// last call.
  bool TakeEndpointChange() {
    return std::exchange(is_endpoint_changed_, false);
  }

  /// Returns the work that ended since the last `TakeEnded`.
  std::vector<work_id> TakeEnded();

  /// A call made for `work` started or ended. While such calls are open, the
  /// work needs no slot of the endpoint.
  void OnChildCallStarted(event_context& context, work_id work);
  void OnChildCallFinished(event_context& context, const ended_child& child);

  /// The running work that made `call`, found by the call's id: an endpoint may
  /// name its calls `<request id of the work>.<suffix>`. Unset if there is
  /// none.
  std::optional<work_id> FindParentOf(const request_id& call) const;

  /// Calls made for `work` that got a useful answer; 0 if it is not open.
  std::uint16_t AnsweredChildCallCountOf(work_id work) const;
  /// The metadata of `work`; null if it is not open.
  const request_metadata* MetadataOf(work_id work) const;
  /// What this node knows about the attempts that another node asks about.
  std::vector<attempt_report> Explain(instant now,
                                      const attempts_queried& query);
  std::size_t open_count() const { return work_items_.size(); }
  /// What this node knows about its local endpoint.
  const local_endpoint& endpoint() const { return endpoint_; }

 private:
  struct work_item {
    request_metadata metadata;
    std::optional<attempt_key> attempt;
    instant arrived;
    /// The same on the clock of `event_context::elapsed_now`.
    instant elapsed_at_arrival;
    instant deadline;
    /// When it was handed to the endpoint.
    instant started;
    bool is_executing = false;
    /// Bytes of the request may have been sent to the endpoint.
    bool is_sent = false;
    /// The forwarding node no longer waits for an answer.
    bool is_caller_gone = false;
    /// The key in `metadata` is recorded as in progress for this work.
    bool holds_key = false;
    std::uint32_t open_child_calls = 0;
    std::uint16_t answered_child_calls = 0;
    /// A call made for this work ended without a useful answer.
    bool has_failed_child_call = false;
  };

  /// Why arriving work is refused; unset if it is accepted.
  std::optional<error_kind> RefusalFor(instant now,
                                       const work_arrived& arrived) const;
  /// Why a request is refused for the crashes that it may cause.
  std::optional<error_kind> RefusalForCrashes(work_id work,
                                              request_digest digest) const;
  /// Claims the idempotency key of new work, or ends the work. Returns whether
  /// it may be executed.
  bool ClaimKey(event_context& context, work_id id, work_item& item);
  /// Whether work that starts now usually ends before a stop aborts it.
  bool HasTimeFor(instant now, const request_metadata& metadata) const;
  /// Work that was not handed to the endpoint.
  std::vector<work_id> QueuedWork() const;
  void ApplyDecisions(event_context& context,
                      const std::vector<admission_decision>& decisions);
  void StartWork(event_context& context, work_id id);
  void OnDeadline(event_context& context, work_id id);
  /// Ends running work without waiting for its outcome.
  void Abandon(event_context& context, work_id id, error_kind kind);
  /// `item` was at work when the endpoint ended without notice.
  void OnCrashed(event_context& context, const work_item& item);
  /// The endpoint runs anew without having announced that it leaves.
  void OnReplacedWithoutNotice(event_context& context);
  /// The requests that are at work at the endpoint.
  std::vector<request_digest> DigestsAtWork() const;
  /// Handles what a response of the endpoint to `item` says about the endpoint.
  void OnSignals(event_context& context,
                 const work_item& item,
                 const outcome& result);
  /// Handles what the sender of a request heard about the endpoint.
  void OnNotice(event_context& context,
                const work_item& item,
                const endpoint_notice& notice);
  /// Logs the result of an answer or notice that says that the endpoint leaves.
  void OnLeaving(event_context& context,
                 const work_item& item,
                 report_result result);
  /// Enforces the rate limit after it has changed.
  void ApplyRateLimit(event_context& context, decision_record change);
  void Refuse(event_context& context,
              work_id id,
              error_kind kind,
              execution_state execution);
  /// Takes one retry from the budget of the service if the forwarding node can
  /// use it for the refused work.
  bool TryGrantRetry(event_context& context,
                     const work_item& item,
                     error_kind kind,
                     execution_state execution);
  void IssueKey(event_context& context, work_id id);
  answer_metadata DescribeAnswer(const event_context& context,
                                 const work_item& item,
                                 std::uint16_t allowance) const;
  void Close(event_context& context, work_id id);
  /// A decision record with the fields common to all records of work.
  decision_record Describe(event_context& context,
                           decision_kind kind,
                           const work_item& item) const;

  const policy_table& policies_;
  const route_table& routes_;
  retry_allowances& allowances_;
  quarantine& quarantine_;
  const pressure_tracker& pressure_;
  const key_validity& keys_validity_;
  stop_schedule stop_;
  bool checks_expected_run_;
  bool awaits_earlier_run_;
  bool counts_arrivals_;
  /// Senders determine the tenants of requests from the routes.
  bool names_tenants_;
  incarnation run_;
  local_endpoint endpoint_;
  capacity_planning planning_;
  admission_controller admission_;
  named_rate_limit rate_limit_;
  active_senders senders_;
  received_attempts attempts_;
  service_retry_budgets retry_budgets_;
  idempotency_key_registry keys_;
  std::unordered_map<work_id, work_item> work_items_;
  /// Work that was handed to the endpoint, by the id of its request.
  std::unordered_map<request_id, work_id> executing_by_request_id_;
  std::vector<work_id> ended_;
  endpoint_crash_detector crash_detector_;
  bool is_endpoint_changed_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORK_INCOMING_WORK_H_
