#include "LibDecision/reducer.h"

#include <optional>
#include <variant>

#include "LibDecision/Calls/outgoing_calls.h"
#include "LibDecision/Membership/membership.h"
#include "LibDecision/Pressure/pressure_memory.h"
#include "LibDecision/Retries/retry_allowance.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/Timers/timer_service.h"
#include "LibDecision/Works/incoming_works.h"
#include "LibDecision/step.h"

namespace auburnfold {

struct node_state::parts {
  explicit parts(const node_options& chosen) : options(chosen) {}

  node_options options;
  timer_service timers;
  table rows;
  membership members{rows};
  retry_allowance allowance;
  pressure_memory pressure;
  outgoing_calls calls{rows, members, allowance, pressure, options};
  incoming_works works{rows, allowance, pressure, options};
  bool is_stopping = false;
  bool is_stopped = false;
  std::optional<instant> wake;

  void On(step& now, const node_started& self) {
    members.Start(now, self);
    rows.Start(now);
    works.Start(self);
  }

  void On(step& now, const stop_requested&) {
    is_stopping = true;
    members.OnStopRequested(now);
    works.OnStopRequested(now);
  }

  void On(step&, const time_passed&) {}

  void On(step& now, const call_arrived& arrived) {
    const request_facts* parent =
        arrived.parent ? works.FactsOf(*arrived.parent) : nullptr;
    if (parent == nullptr) {
      call_arrived orphan = arrived;
      orphan.parent.reset();
      return calls.OnArrived(now, orphan, nullptr);
    }
    // The call may end the parent work, and with it the facts.
    const request_facts facts = *parent;
    works.OnChildStarted(now, *arrived.parent);
    calls.OnArrived(now, arrived, &facts);
  }

  void On(step& now, const call_cancelled& cancelled) {
    calls.OnCancelled(now, cancelled.call);
  }

  void On(step&, const attempt_sent&) {}

  void On(step& now, const attempt_finished& finished) {
    calls.OnAttemptFinished(now, finished);
  }

  void On(step& now, const work_arrived& arrived) {
    works.OnArrived(now, arrived);
  }

  void On(step& now, const work_cancelled& cancelled) {
    works.OnCancelled(now, cancelled.work);
    calls.CancelChildrenOf(now, cancelled.work);
  }

  void On(step& now, const work_sent& sent) { works.OnSent(now, sent.work); }

  void On(step& now, const work_finished& finished) {
    works.OnFinished(now, finished);
    calls.CancelChildrenOf(now, finished.work);
  }

  void On(step& now, const endpoint_reported& report) {
    members.OnEndpointReported(now, report);
    works.OnEndpointReported(now, report);
  }

  void On(step&, const connection_closed&) {}

  void On(step& now, const message_received& received) {
    const incarnation run = members.self().run;
    members.OnMessage(now, received.message);
    if (members.self().run != run) {
      works.Start({.node = members.self().node, .run = members.self().run});
    }
    if (const auto* update =
            std::get_if<row_update>(&received.message.content)) {
      for (const table_row& row : update->rows) {
        rows.Take(now, row);
      }
    }
  }

  void On(step& now, const store_answered& answer) {
    members.OnStoreAnswered(now, answer);
    rows.OnStoreAnswered(now, answer);
  }

  void On(step& now, const admin_requested& request) {
    if (const auto* wanted = std::get_if<set_draining>(&request.request)) {
      members.SetDraining(now, wanted->is_draining);
      now.Emit(answer_admin{request.call, {}});
      return;
    }
    rows.OnAdminRequested(now, request);
  }

  void OnTimer(step& now, timer_subscription due) {
    switch (due.owner) {
      case timer_owner::kCalls:
        return calls.OnTimer(now, due.key);
      case timer_owner::kWorks:
      case timer_owner::kAdmission:
      case timer_owner::kOnce:
        return works.OnTimer(now, due);
      case timer_owner::kMembership:
        return members.OnTimer(now, due.key);
      case timer_owner::kTable:
        return rows.OnTimer(now, due.key);
      case timer_owner::kRouting:
      case timer_owner::kStop:
        return;
    }
  }

  void ResumeParents(step& now) {
    for (const work_id parent : calls.TakeEndedChildren()) {
      works.OnChildFinished(now, parent);
    }
  }

  void StopIfIdle(step& now) {
    const bool is_idle = calls.open_count() == 0 && works.open_count() == 0;
    if (is_stopping && !is_stopped && is_idle) {
      is_stopped = true;
      members.OnStopped(now);
      now.Emit(stop_process{});
    }
  }

  void AskForWake(step& now) {
    const std::optional<instant> next = timers.next();
    if (next && next != wake) {
      wake = next;
      now.Emit(wake_at{*next});
    }
  }
};

node_state::node_state(const node_options& options)
    : parts_(std::make_unique<parts>(options)) {}
node_state::~node_state() = default;
node_state::node_state(node_state&&) noexcept = default;
node_state& node_state::operator=(node_state&&) noexcept = default;

effects Reduce(node_state& state, const event& happened) {
  node_state::parts& parts = *state.parts_;
  step now(happened.now, happened.entropy, parts.timers);
  while (const auto due = parts.timers.TakeDue(happened.now)) {
    parts.OnTimer(now, *due);
  }
  std::visit([&](const auto& content) { parts.On(now, content); },
             happened.content);
  parts.ResumeParents(now);
  parts.members.SpreadChanges(now);
  parts.StopIfIdle(now);
  parts.AskForWake(now);
  return now.TakeEffects();
}

}  // namespace auburnfold
