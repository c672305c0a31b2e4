#ifndef LIBDECISION_CALLS_OUTGOING_CALLS_H_
#define LIBDECISION_CALLS_OUTGOING_CALLS_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Once/key_register.h"
#include "LibDecision/Retries/retry_allowance.h"
#include "LibDecision/Routing/router.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/event.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// Calls that this node carries out for outside callers and for its own
/// endpoint: each becomes one or more attempts at other nodes and ends with
/// exactly one answer.
class outgoing_calls {
 public:
  outgoing_calls(const table& rows,
                 const membership& members,
                 retry_allowance& allowance)
      : rows_(rows), members_(members), allowance_(allowance) {}

  /// `priority` is that of the parent work, if the node knows it.
  void OnArrived(step& now,
                 const call_arrived& arrived,
                 std::optional<std::uint8_t> priority);
  void OnCancelled(step& now, call_id call);
  void OnSent(step& now, const attempt_sent& sent);
  void OnAttemptFinished(step& now, const attempt_finished& finished);
  void OnTimer(step& now, std::uint64_t key);
  /// From now on only calls for works of the own endpoint are carried out.
  void OnStopRequested() { is_stopping_ = true; }
  /// Ends everything: the stop took too long.
  void CutAll(step& now);
  /// Ends every call made for `parent`, whose caller has gone.
  void CancelChildrenOf(step& now, work_id parent);

  std::size_t open_count() const { return calls_.size(); }

 private:
  struct call {
    request_facts facts;
    std::optional<work_id> parent;
    instant deadline;
    std::uint16_t allowance = 0;
    std::vector<node_id> tried;
    std::optional<attempt_id> attempt;
    instant attempt_started;
    /// Bytes of `attempt` may have left this node.
    bool is_attempt_sent = false;
    /// An earlier attempt may have run.
    bool may_have_run = false;
    bool is_idempotent = false;
  };
  using call_map = std::unordered_map<call_id, call>;

  void Send(step& now, call_id id, call& open);
  /// The member to send to next; refuses the call if there is none.
  const member_record* ChooseMember(step& now, call_id id, const call& open);
  /// As above for a call whose key names its home.
  const member_record* ChooseHome(step& now, call_id id, const key_home& home);
  void Refuse(step& now, call_id id, error_kind kind, duration retry_after);
  void Close(step& now, call_id id);
  bool ShouldRetry(step& now, const call& open, const outcome& result) const;

  const table& rows_;
  const membership& members_;
  retry_allowance& allowance_;
  router router_;
  call_map calls_;
  std::unordered_map<attempt_id, call_id> attempts_;
  std::uint64_t next_attempt_ = 1;
  bool is_stopping_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLS_OUTGOING_CALLS_H_
