#ifndef LIBDECISION_CALLS_OUTGOING_CALLS_H_
#define LIBDECISION_CALLS_OUTGOING_CALLS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Calls/outgoing_call.h"
#include "LibDecision/Connections/connection_monitor.h"
#include "LibDecision/Membership/membership.h"
#include "LibDecision/Once/key_register.h"
#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/Retries/retry_allowances.h"
#include "LibDecision/Retries/retry_policy.h"
#include "LibDecision/Routes/route_table.h"
#include "LibDecision/Routing/router.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/ended_child.h"
#include "LibDecision/event.h"
#include "LibDecision/node_options.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// The work of the own endpoint that a call is made for.
struct calling_work {
  request_facts facts;
  /// Its calls that brought a useful answer so far.
  std::uint16_t answered_calls = 0;
};

/// Calls that this node carries out for outside callers and for its own
/// endpoint: each becomes one or more attempts at other nodes and ends with
/// exactly one answer.
class outgoing_calls {
 public:
  outgoing_calls(const table& rows,
                 route_table& routes,
                 const membership& members,
                 retry_allowances& allowance,
                 pressure_tracker& pressure,
                 const node_options& options)
      : rows_(rows),
        routes_(routes),
        members_(members),
        allowance_(allowance),
        pressure_(pressure),
        options_(options),
        retries_(pressure, options),
        router_(members) {}

  /// `parent` is the parent work, if the node knows it.
  void OnArrived(step& now,
                 const call_arrived& arrived,
                 const calling_work* parent);
  void OnCancelled(step& now, call_id call);
  void OnSent(step& now, const attempt_sent& sent);
  void OnAttemptFinished(step& now, const attempt_finished& finished);
  void OnConnectionClosed(connection_id closed) {
    connections_.OnClosed(closed);
  }
  void OnTimer(step& now, std::uint64_t key);
  /// Gives up the attempts whose connections have gone silent.
  void OnConnectionTimer(step& now);
  /// After the leaving grace, only calls for works of the own endpoint are
  /// carried out.
  void OnStopRequested(step& now) { stopping_since_ = now.now(); }
  /// Ends everything: the stop took too long.
  void CutAll(step& now);
  /// Ends every call made for `parent`, whose caller has gone.
  void CancelChildrenOf(step& now, work_id parent);

  /// The calls of works that ended since the last time.
  std::vector<ended_child> TakeEndedChildren();

  std::size_t open_count() const { return calls_.size(); }
  /// When the node beside an endpoint last answered.
  instant AnsweredAt(node_id node) const { return router_.AnsweredAt(node); }

 private:
  using call = outgoing_call;
  using call_map = std::unordered_map<call_id, call>;

  /// Settles service, class and limits of a call that names none. Returns why
  /// it cannot be served, if so.
  std::optional<error_kind> ApplyRoute(const route_target& target,
                                       request_facts& facts);
  void Send(step& now, call_id id, call& open);
  /// The member to send to next; refuses the call if there is none.
  const member_record* ChooseMember(step& now, call_id id, const call& open);
  /// As above for a call whose key names its home.
  const member_record* ChooseHome(step& now, call_id id, const key_home& home);
  void OnAttemptLost(step& now, attempt_id attempt);
  /// Goes on after an attempt that ended without a whole answer.
  void RetryOrRefuse(step& now, call_id id, call& open, const outcome& result);
  void Refuse(step& now, call_id id, error_kind kind, duration retry_after);
  void Close(step& now, call_id id);
  /// What is certain about all attempts of a call together.
  static run_state KnowledgeOf(const call& open);
  std::uint16_t AllowanceFor(const call_arrived& arrived,
                             const row_settings& row);
  bool IsRefusedEarly(step& now, const call& open);
  void TakeBackAllowance(call& open, const outcome& result) const;
  /// Takes one retry for a whole answer that says that the endpoint failed.
  bool IsWorthAnother(step& now, call& open, const outcome& result);
  /// Takes one retry if it is safe and there is one left.
  bool TryRetry(step& now, call& open, const outcome& result);
  duration RetryAfterFor(step& now, const call& open, error_kind kind) const;

  /// A record about `open` with what every record of a call tells.
  decision_record Describe(step& now,
                           decision_kind kind,
                           const call& open) const;

  const table& rows_;
  route_table& routes_;
  const membership& members_;
  retry_allowances& allowance_;
  pressure_tracker& pressure_;
  const node_options& options_;
  retry_policy retries_;
  router router_;
  connection_monitor connections_;
  call_map calls_;
  std::unordered_map<attempt_id, call_id> attempts_;
  std::unordered_multimap<work_id, call_id> children_;
  std::vector<ended_child> ended_children_;
  std::uint64_t next_attempt_ = 1;
  std::optional<instant> stopping_since_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLS_OUTGOING_CALLS_H_
