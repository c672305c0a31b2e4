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
#include "LibDecision/Pressure/pressure_memory.h"
#include "LibDecision/Retries/retry_allowance.h"
#include "LibDecision/Retries/retry_policy.h"
#include "LibDecision/Routes/route_table.h"
#include "LibDecision/Routing/router.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/ended_child.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// The work of the own endpoint that a call is made for.
struct calling_work {
  request_metadata metadata;
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
                 retry_allowance& allowance,
                 pressure_memory& pressure,
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
  void OnArrived(event_context& context,
                 const call_arrived& arrived,
                 const calling_work* parent);
  void OnCancelled(event_context& context, call_id call);
  void OnSent(event_context& context, const attempt_sent& sent);
  void OnAttemptFinished(event_context& context,
                         const attempt_finished& finished);
  void OnConnectionClosed(connection_id closed) {
    connections_.OnClosed(closed);
  }
  void OnTimer(event_context& context, std::uint64_t key);
  /// Gives up the attempts whose connections have gone silent.
  void OnConnectionTimer(event_context& context);
  /// After the leaving grace, only calls for works of the own endpoint are
  /// carried out.
  void OnStopRequested(event_context& context) {
    stopping_since_ = context.now();
  }
  /// Ends everything: the stop took too long.
  void CutAll(event_context& context);
  /// Ends every call made for `parent`, whose caller has gone.
  void CancelChildrenOf(event_context& context, work_id parent);

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
                                       request_metadata& metadata);
  void Send(event_context& context, call_id id, call& open);
  /// The member to send to next; refuses the call if there is none.
  const member_record* ChooseMember(event_context& context,
                                    call_id id,
                                    const call& open);
  /// As above for a call whose key names its home.
  const member_record* ChooseHome(event_context& context,
                                  call_id id,
                                  const key_home& home);
  void OnAttemptLost(event_context& context, attempt_id attempt);
  /// Goes on after an attempt that ended without a whole answer.
  void RetryOrRefuse(event_context& context,
                     call_id id,
                     call& open,
                     const outcome& result);
  void Refuse(event_context& context,
              call_id id,
              error_kind kind,
              duration retry_after);
  void Close(event_context& context, call_id id);
  /// What is certain about all attempts of a call together.
  static execution_state KnowledgeOf(const call& open);
  std::uint16_t AllowanceFor(const call_arrived& arrived,
                             const row_settings& row);
  bool IsRefusedEarly(event_context& context, const call& open);
  void TakeBackAllowance(call& open, const outcome& result) const;
  /// Takes one retry for a whole answer that says that the endpoint failed.
  bool IsWorthAnother(event_context& context,
                      call& open,
                      const outcome& result);
  /// Takes one retry if it is safe and there is one left.
  bool TryRetry(event_context& context, call& open, const outcome& result);
  duration RetryAfterFor(event_context& context,
                         const call& open,
                         error_kind kind) const;

  /// A record about `open` with what every record of a call tells.
  decision_record Describe(event_context& context,
                           decision_kind kind,
                           const call& open) const;

  const table& rows_;
  route_table& routes_;
  const membership& members_;
  retry_allowance& allowance_;
  pressure_memory& pressure_;
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
