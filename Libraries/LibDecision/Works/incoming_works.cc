#include "LibDecision/Works/incoming_works.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

void incoming_works::Start(const node_started& self) {
  run_ = self.run;
  keys_.Start(self.node, self.run);
}

void incoming_works::OnArrived(event_context& context,
                               const work_arrived& arrived) {
  work& open = works_[arrived.work];
  open.metadata = arrived.metadata;
  open.arrived = context.now();
  open.deadline = context.now() + arrived.metadata.time_left;
  allowance_.Open(arrived.work, arrived.metadata.allowance);
  // A known key is answered also where no new work is taken.
  if (arrived.metadata.key && !TakeKey(context, arrived.work, open)) {
    return;
  }
  if (const auto refusal = RefusalFor(context.now(), arrived)) {
    return Refuse(context, arrived.work, *refusal,
                  execution_state::kNotExecuted);
  }
  if (arrived.metadata.purpose == request_purpose::kIssueKey) {
    return IssueKey(context, arrived.work);
  }
  context.timers().Schedule({timer_owner::kWork, arrived.work.value()},
                            open.deadline);
  const row_settings& row =
      rows_.SettingsFor(open.metadata.service, open.metadata.request_class);
  Apply(context, admission_.Offer(context, arrived.work, open.metadata, row));
  const auto waiting = works_.find(arrived.work);
  if (waiting != works_.end() && !waiting->second.is_running) {
    context.Log(Describe(context, decision_kind::kWorkQueued, waiting->second));
  }
}

// A sender that names another run has an old view: its choice of this node,
// and what it believes to be beside it, may be wrong. Where nodes learn of each
// other from the registry alone, a view stays old as long as that is away, and
// the endpoint's own name tells whether it is still the same.
std::optional<error_kind> incoming_works::RefusalFor(
    instant now,
    const work_arrived& arrived) const {
  const bool is_run_stated =
      checks_run_ && arrived.expected_run != incarnation();
  if (is_run_stated && arrived.expected_run != run_) {
    return error_kind::kEndpointUnreachable;
  }
  if (is_stop_grace_over(now)) {
    return error_kind::kNodeStopping;
  }
  if (const auto refusal =
          endpoint_.RefusalFor(now, arrived.metadata.service)) {
    return refusal;
  }
  if (arrived.metadata.time_left <= duration::zero()) {
    return error_kind::kDeadlineExpired;
  }
  return std::nullopt;
}

bool incoming_works::TakeKey(event_context& context, work_id id, work& open) {
  const bool is_idempotent =
      rows_.SettingsFor(open.metadata.service, open.metadata.request_class)
          .is_idempotent;
  if (is_idempotent && !key_register::HomeOf(*open.metadata.key)) {
    // The key is the endpoint's own business.
    return true;
  }
  const key_decision decision = keys_.OnWork(context, open.metadata, id);
  switch (decision.verdict) {
    case key_verdict::kRun:
      open.holds_key = true;
      return true;
    case key_verdict::kReplay: {
      const answer_metadata metadata =
          DescribeAnswer(context, open, allowance_.Close(id));
      context.Emit(replay_answer{id, *open.metadata.key, metadata});
      Close(context, id);
      return false;
    }
    case key_verdict::kRefuse:
      Refuse(context, id, decision.refusal, decision.execution);
      return false;
  }
  return false;
}

// Work with a key runs on, so that a resend finds its answer.
void incoming_works::OnCancelled(event_context& context, work_id id) {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  work& open = found->second;
  open.is_caller_gone = true;
  if (!open.is_running) {
    const std::vector<admission_decision> decisions =
        admission_.OnCancelled(context, id);
    Refuse(context, id, error_kind::kCallerGone, execution_state::kNotExecuted);
    return Apply(context, decisions);
  }
  if (!open.holds_key) {
    GiveUp(context, id, error_kind::kCallerGone);
  }
}

void incoming_works::OnSent(event_context& context, work_id id) {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    // It ended in this very event, by a timer.
    context.Emit(cancel_work{id});
    return;
  }
  found->second.is_sent = true;
}

void incoming_works::OnFinished(event_context& context,
                                const work_finished& finished) {
  const auto found = works_.find(finished.work);
  if (found == works_.end()) {
    context.Count(counter::kLateAnswers);
    return;
  }
  work& open = found->second;
  const std::vector<admission_decision> decisions =
      admission_.OnFinished(context, finished.work, finished.result);
  if (finished.result.is_complete()) {
    endpoint_.OnAnswered(context);
    if (open.holds_key) {
      keys_.OnFinished(context, *open.metadata.key, finished.work,
                       finished.result);
    }
    const answer_metadata metadata =
        DescribeAnswer(context, open, allowance_.Close(finished.work));
    context.Log(Describe(context, decision_kind::kWorkAnswered, open));
    if (!open.is_caller_gone) {
      context.Emit(relay_work_answer{finished.work, metadata});
    }
    Close(context, finished.work);
  } else {
    const execution_state execution = open.is_sent
                                          ? finished.result.execution
                                          : execution_state::kNotExecuted;
    const bool is_away =
        finished.result.error == error_kind::kEndpointUnreachable ||
        finished.result.error == error_kind::kEndpointReplaced;
    if (is_away) {
      endpoint_.OnUnreachable(context);
    }
    Refuse(context, finished.work, *finished.result.error, execution);
  }
  Apply(context, decisions);
}

report_effect incoming_works::OnEndpointReported(
    event_context& context,
    const endpoint_reported& report) {
  const report_effect effect = endpoint_.OnReported(context, report);
  if (effect != report_effect::kIgnored) {
    admission_.OnEndpointReported(context, *endpoint_.report());
  }
  if (effect == report_effect::kReplaced || effect == report_effect::kChanged) {
    context.Log({.kind = decision_kind::kEndpointChanged,
                 .service = report.service,
                 .endpoint = report.name,
                 .run = report.run,
                 .limit = report.slots,
                 .state = static_cast<std::uint32_t>(report.state)});
  }
  if (effect != report_effect::kReplaced) {
    return effect;
  }
  std::vector<work_id> lost;
  for (const auto& [id, open] : works_) {
    if (open.is_sent) {
      lost.push_back(id);
    }
  }
  for (const work_id id : lost) {
    GiveUp(context, id, error_kind::kAnswerLost);
  }
  return effect;
}

void incoming_works::OnStopRequested(event_context& context) {
  stopping_since_ = context.now();
}

bool incoming_works::is_stop_grace_over(instant now) const {
  return stopping_since_ && now - *stopping_since_ >= stop_grace_;
}

void incoming_works::CutAll(event_context& context) {
  std::vector<work_id> queued;
  std::vector<work_id> running;
  for (const auto& [id, open] : works_) {
    (open.is_running ? running : queued).push_back(id);
  }
  // Queued work goes first, so that no end of running work starts it.
  for (const work_id id : queued) {
    admission_.OnCancelled(context, id);
    Refuse(context, id, error_kind::kNodeStopping,
           execution_state::kNotExecuted);
  }
  for (const work_id id : running) {
    GiveUp(context, id, error_kind::kAnswerLost);
  }
}

std::vector<work_id> incoming_works::TakeEnded() {
  return std::exchange(ended_, {});
}

void incoming_works::OnTimer(event_context& context, timer_id due) {
  if (due.owner == timer_owner::kAdmission) {
    return Apply(context, admission_.OnTimer(context, due.key));
  }
  if (due.owner == timer_owner::kIdempotencyKeys) {
    return keys_.OnTimer(context);
  }
  EndAtDeadline(context, work_id(due.key));
}

void incoming_works::OnChildStarted(event_context& context, work_id id) {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  if (found->second.open_children++ == 0) {
    Apply(context, admission_.OnWaiting(context, id));
  }
}

void incoming_works::OnChildFinished(event_context&, const ended_child& child) {
  const work_id id = child.parent;
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  work& open = found->second;
  open.has_failed_child = open.has_failed_child || child.is_failed;
  open.answered_children += child.is_failed ? 0 : 1;
  if (--open.open_children == 0) {
    admission_.OnResumed(id);
  }
}

std::uint16_t incoming_works::AnsweredCallsOf(work_id id) const {
  const auto found = works_.find(id);
  return found == works_.end() ? 0 : found->second.answered_children;
}

const request_metadata* incoming_works::MetadataOf(work_id id) const {
  const auto found = works_.find(id);
  return found == works_.end() ? nullptr : &found->second.metadata;
}

void incoming_works::Apply(event_context& context,
                           const std::vector<admission_decision>& decisions) {
  for (const admission_decision& decision : decisions) {
    if (!works_.contains(decision.work)) {
      continue;
    }
    if (decision.refusal) {
      Refuse(context, decision.work, *decision.refusal,
             execution_state::kNotExecuted);
    } else {
      Run(context, decision.work);
    }
  }
}

void incoming_works::Run(event_context& context, work_id id) {
  work& open = works_.at(id);
  open.is_running = true;
  running_by_id_[open.metadata.own_id] = id;
  // A repeat was taken from a share before it was sent.
  if (counts_arrivals_ && !open.metadata.is_repeat) {
    shares_.OnFirstAttempt(context.now(), open.metadata.service, false);
  }
  context.Log(Describe(context, decision_kind::kWorkStarted, open));
  context.Emit(
      execute_work{id, endpoint_.name(), open.deadline - context.now()});
}

// Only an id that is running here counts, so a caller's id that happens to
// have a point in it names no parent.
std::optional<work_id> incoming_works::FindParentOf(
    const request_id& call) const {
  const std::size_t point = call.value().rfind('.');
  if (point == std::string::npos) {
    return std::nullopt;
  }
  const auto found =
      running_by_id_.find(request_id(call.value().substr(0, point)));
  return found == running_by_id_.end() ? std::nullopt
                                       : std::optional(found->second);
}

void incoming_works::EndAtDeadline(event_context& context, work_id id) {
  const auto found = works_.find(id);
  if (found == works_.end()) {
    return;
  }
  if (found->second.is_running) {
    return GiveUp(context, id, error_kind::kAnswerTimeout);
  }
  const std::vector<admission_decision> decisions =
      admission_.OnCancelled(context, id);
  Refuse(context, id, error_kind::kDeadlineExpired,
         execution_state::kNotExecuted);
  Apply(context, decisions);
}

// The embedder may be about to write the first byte, so even work that was
// not yet sent ends unknown.
void incoming_works::GiveUp(event_context& context,
                            work_id id,
                            error_kind kind) {
  const outcome lost{kind, execution_state::kUnknown};
  context.Emit(cancel_work{id});
  const std::vector<admission_decision> decisions =
      kind == error_kind::kCallerGone
          ? admission_.OnCancelled(context, id)
          : admission_.OnFinished(context, id, lost);
  Refuse(context, id, kind, execution_state::kUnknown);
  Apply(context, decisions);
}

void incoming_works::Refuse(event_context& context,
                            work_id id,
                            error_kind kind,
                            execution_state execution) {
  const work& open = works_.at(id);
  if (open.holds_key && execution == execution_state::kNotExecuted) {
    keys_.OnNotRun(*open.metadata.key, id);
  } else if (open.holds_key) {
    keys_.OnFinished(context, *open.metadata.key, id, {kind, execution});
  }
  answer_metadata metadata =
      DescribeAnswer(context, open, allowance_.Close(id));
  metadata.grants_retry = GrantsRetry(context, open, kind, execution);
  decision_record refused =
      Describe(context, decision_kind::kWorkRefused, open);
  refused.error = kind;
  refused.execution = execution;
  refused.level = metadata.level;
  refused.retry_after = metadata.retry_after;
  if (metadata.grants_retry) {
    refused.retry = retry_verdict::kAllowed;
  }
  context.Log(std::move(refused));
  if (!open.is_caller_gone) {
    context.Emit(refuse_work{id, kind, execution, metadata});
  }
  Close(context, id);
}

// All callers share what is earned here, where one that calls seldom has little
// of its own.
bool incoming_works::GrantsRetry(event_context& context,
                                 const work& open,
                                 error_kind kind,
                                 execution_state execution) {
  const bool is_idempotent =
      rows_.SettingsFor(open.metadata.service, open.metadata.request_class)
          .is_idempotent;
  const bool has_arrived =
      kind == error_kind::kEndpointBusy ||
      (kind == error_kind::kAnswerLost &&
       execution == execution_state::kUnknown && is_idempotent);
  return counts_arrivals_ && has_arrived && !open.is_caller_gone &&
         open.metadata.allowance > 0 && open.deadline > context.now() &&
         shares_.TryTake(context.now(), open.metadata.service,
                         ClaimOf(open.metadata));
}

void incoming_works::IssueKey(event_context& context, work_id id) {
  const work& open = works_.at(id);
  const std::optional<idempotency_key> key =
      keys_.Issue(context, open.metadata);
  if (!key) {
    return Refuse(context, id, error_kind::kKeyMemoryFull,
                  execution_state::kNotExecuted);
  }
  const answer_metadata metadata =
      DescribeAnswer(context, open, allowance_.Close(id));
  context.Emit(answer_with_key{id, *key, metadata});
  Close(context, id);
}

// The level covers what the class calls deeper down, so that callers refuse
// early what would be refused there.
answer_metadata incoming_works::DescribeAnswer(const event_context& context,
                                               const work& open,
                                               std::uint16_t allowance) const {
  answer_metadata metadata;
  admission_.Describe(context.now(), open.metadata, metadata);
  metadata.level = std::max(
      metadata.level,
      pressure_.DeepLevelFor(context.now(), open.metadata.request_class));
  metadata.allowance_left = allowance;
  metadata.has_failed_child_call = open.has_failed_child;
  return metadata;
}

void incoming_works::Close(event_context& context, work_id id) {
  allowance_.Close(id);
  context.timers().Cancel({timer_owner::kWork, id.value()});
  const auto closed = works_.find(id);
  const auto running = running_by_id_.find(closed->second.metadata.own_id);
  if (running != running_by_id_.end() && running->second == id) {
    running_by_id_.erase(running);
  }
  works_.erase(closed);
  ended_.push_back(id);
}

decision_record incoming_works::Describe(event_context& context,
                                         decision_kind kind,
                                         const work& open) const {
  decision_record record{.kind = kind,
                         .request = open.metadata.own_id,
                         .root = open.metadata.root,
                         .service = open.metadata.service,
                         .request_class = open.metadata.request_class,
                         .endpoint = endpoint_.name()};
  record.time_left = open.deadline - context.now();
  record.waited = context.now() - open.arrived;
  record.priority = open.metadata.priority;
  record.running = admission_.running();
  record.queued = static_cast<std::uint32_t>(admission_.queued());
  record.limit = admission_.limit();
  return record;
}

}  // namespace auburnfold
