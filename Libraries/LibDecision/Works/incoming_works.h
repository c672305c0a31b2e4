#ifndef LIBDECISION_WORKS_INCOMING_WORKS_H_
#define LIBDECISION_WORKS_INCOMING_WORKS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Admission/admission.h"
#include "LibDecision/Once/key_register.h"
#include "LibDecision/Pressure/pressure_memory.h"
#include "LibDecision/Retries/retry_allowance.h"
#include "LibDecision/Retries/service_retry_shares.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/Works/own_endpoint.h"
#include "LibDecision/ended_child.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// Requests that other nodes forwarded for the own endpoint: each is refused,
/// or runs once, and ends with exactly one answer to the forwarding node.
class incoming_works {
 public:
  incoming_works(const table& rows,
                 retry_allowance& allowance,
                 const pressure_memory& pressure,
                 const node_options& options)
      : rows_(rows),
        allowance_(allowance),
        pressure_(pressure),
        stop_grace_(options.stop_grace),
        checks_run_(options.discovery == discovery_mode::kGossip),
        counts_arrivals_(options.retries == retry_mode::kArrivals),
        endpoint_(options.leaving_grace),
        admission_(options.limit) {}

  void Start(const node_started& self);
  void OnArrived(event_context& context, const work_arrived& arrived);
  void OnCancelled(event_context& context, work_id work);
  void OnSent(event_context& context, work_id work);
  void OnFinished(event_context& context, const work_finished& finished);
  report_effect OnEndpointReported(event_context& context,
                                   const endpoint_reported& report);
  void OnStopRequested(event_context& context);
  /// A stop was requested so long ago that nothing new is taken.
  bool is_stop_grace_over(instant now) const;
  /// Ends everything: the stop took too long.
  void CutAll(event_context& context);
  void OnTimer(event_context& context, timer_id due);
  /// Returns whether the endpoint was found silent just now.
  bool OnEndpointTimer(event_context& context) {
    return endpoint_.OnTimer(context);
  }

  /// The works that ended since the last call.
  std::vector<work_id> TakeEnded();

  /// A deeper call of `work` began or ended; meanwhile it needs no slot.
  void OnChildStarted(event_context& context, work_id work);
  void OnChildFinished(event_context& context, const ended_child& child);

  /// The running work from whose id `call` is derived: an endpoint may name
  /// its calls by that id, a point and a part of their own.
  std::optional<work_id> FindParentOf(const request_id& call) const;

  /// Calls of open work that brought a useful answer; 0 if it is not open.
  std::uint16_t AnsweredCallsOf(work_id work) const;
  /// The facts of open work; nothing if `work` is not open.
  const request_metadata* MetadataOf(work_id work) const;
  std::size_t open_count() const { return works_.size(); }
  /// What this node knows about the endpoint beside it.
  const own_endpoint& endpoint() const { return endpoint_; }

 private:
  struct work {
    request_metadata metadata;
    instant arrived;
    instant deadline;
    bool is_running = false;
    /// Bytes may have reached the endpoint.
    bool is_sent = false;
    /// The forwarding node waits for no answer any more.
    bool is_caller_gone = false;
    /// The key in `metadata` is recorded as in progress for this work.
    bool holds_key = false;
    std::uint32_t open_children = 0;
    std::uint16_t answered_children = 0;
    /// A deeper call ended without the endpoint's whole answer.
    bool has_failed_child = false;
  };

  std::optional<error_kind> RefusalFor(instant now,
                                       const work_arrived& arrived) const;
  /// Takes the key of new work. Returns whether the work may run.
  bool TakeKey(event_context& context, work_id id, work& open);
  void Apply(event_context& context,
             const std::vector<admission_decision>& decisions);
  void Run(event_context& context, work_id id);
  void EndAtDeadline(event_context& context, work_id id);
  /// Ends running work whose outcome will not become known.
  void GiveUp(event_context& context, work_id id, error_kind kind);
  void Refuse(event_context& context,
              work_id id,
              error_kind kind,
              execution_state execution);
  /// Takes one repeat for the caller of refused work, if it can use one.
  bool GrantsRetry(event_context& context,
                   const work& open,
                   error_kind kind,
                   execution_state execution);
  void IssueKey(event_context& context, work_id id);
  answer_metadata DescribeAnswer(const event_context& context,
                                 const work& open,
                                 std::uint16_t allowance) const;
  void Close(event_context& context, work_id id);
  /// A record about `open` with what every record of a work tells.
  decision_record Describe(event_context& context,
                           decision_kind kind,
                           const work& open) const;

  const table& rows_;
  retry_allowance& allowance_;
  const pressure_memory& pressure_;
  duration stop_grace_;
  bool checks_run_;
  bool counts_arrivals_;
  incarnation run_;
  std::optional<instant> stopping_since_;
  own_endpoint endpoint_;
  admission admission_;
  service_retry_shares shares_;
  key_register keys_;
  std::unordered_map<work_id, work> works_;
  /// Works at the endpoint.
  std::unordered_map<request_id, work_id> running_by_id_;
  std::vector<work_id> ended_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORKS_INCOMING_WORKS_H_
