#include "LibDecision/Work/incoming_work.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

void incoming_work::Start(const node_started& self) {
  run_ = self.run;
  keys_.Start(self.node, self.run);
}

void incoming_work::OnArrived(step& now, const work_arrived& arrived) {
  work_item& item = work_items_[arrived.work];
  item.facts = arrived.facts;
  item.arrived = now.now();
  item.deadline = now.now() + arrived.facts.time_left;
  allowance_.Open(arrived.work, arrived.facts.allowance);
  // A cached answer is replayed even when no new work is accepted.
  if (arrived.facts.key && !ClaimKey(now, arrived.work, item)) {
    return;
  }
  if (const auto refusal = RefusalFor(now.now(), arrived)) {
    return Refuse(now, arrived.work, *refusal, run_state::kNotRun);
  }
  if (arrived.facts.purpose == request_purpose::kIssueKey) {
    return IssueKey(now, arrived.work);
  }
  now.timers().Subscribe({timer_owner::kWorks, arrived.work.value()},
                         item.deadline);
  const row_settings& row =
      rows_.SettingsFor(item.facts.service, item.facts.request_class);
  ApplyDecisions(now, admission_.Offer(now, arrived.work, item.facts, row));
  const auto waiting = work_items_.find(arrived.work);
  if (waiting != work_items_.end() && !waiting->second.is_executing) {
    now.Log(Describe(now, decision_kind::kWorkQueued, waiting->second));
  }
}

// A sender that expects another run has an outdated view: its choice of this
// node and of its endpoint may be wrong. With `discovery_choice::kRegistry`, a
// view stays outdated for as long as the key-value store is unavailable. There
// the name of the endpoint tells whether it is still the same one.
std::optional<error_kind> incoming_work::RefusalFor(
    instant now,
    const work_arrived& arrived) const {
  const bool is_run_expected =
      checks_expected_run_ && arrived.expected_run != incarnation();
  if (is_run_expected && arrived.expected_run != run_) {
    return error_kind::kEndpointUnreachable;
  }
  if (is_stop_grace_over(now)) {
    return error_kind::kNodeStopping;
  }
  if (const auto refusal = endpoint_.RefusalFor(now, arrived.facts.service)) {
    return refusal;
  }
  if (arrived.facts.time_left <= duration::zero()) {
    return error_kind::kDeadlineExpired;
  }
  return std::nullopt;
}

bool incoming_work::ClaimKey(step& now, work_id id, work_item& item) {
  const bool is_idempotent =
      rows_.SettingsFor(item.facts.service, item.facts.request_class)
          .is_idempotent;
  if (is_idempotent && !idempotency_key_registry::HomeOf(*item.facts.key)) {
    // The key was not issued by a node; the endpoint handles it.
    return true;
  }
  const key_decision decision = keys_.OnWork(now, item.facts, id);
  switch (decision.action) {
    case key_action::kExecute:
      item.holds_key = true;
      return true;
    case key_action::kReplay: {
      const answer_facts facts =
          DescribeAnswer(now, item, allowance_.Close(id));
      now.Emit(replay_answer{id, *item.facts.key, facts});
      Close(now, id);
      return false;
    }
    case key_action::kRefuse:
      Refuse(now, id, decision.refusal, decision.ran);
      return false;
  }
  return false;
}

// Running work with a key continues, so that a retry gets its answer.
void incoming_work::OnCancelled(step& now, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    return;
  }
  work_item& item = found->second;
  item.is_caller_gone = true;
  if (!item.is_executing) {
    const std::vector<admission_decision> decisions =
        admission_.OnCancelled(now, id);
    Refuse(now, id, error_kind::kCallerGone, run_state::kNotRun);
    return ApplyDecisions(now, decisions);
  }
  if (!item.holds_key) {
    Abandon(now, id, error_kind::kCallerGone);
  }
}

void incoming_work::OnSent(step& now, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    // A timer of this same event has ended it.
    now.Emit(cancel_work{id});
    return;
  }
  found->second.is_sent = true;
}

void incoming_work::OnFinished(step& now, const work_finished& finished) {
  const auto found = work_items_.find(finished.work);
  if (found == work_items_.end()) {
    now.Count(counter::kLateAnswers);
    return;
  }
  work_item& item = found->second;
  const std::vector<admission_decision> decisions =
      admission_.OnFinished(now, finished.work, finished.result);
  if (finished.result.is_whole()) {
    endpoint_.OnAnswered(now);
    if (item.holds_key) {
      keys_.OnFinished(now, *item.facts.key, finished.work, finished.result);
    }
    const answer_facts facts =
        DescribeAnswer(now, item, allowance_.Close(finished.work));
    now.Log(Describe(now, decision_kind::kWorkAnswered, item));
    if (!item.is_caller_gone) {
      now.Emit(relay_work_answer{finished.work, facts});
    }
    Close(now, finished.work);
  } else {
    const run_state ran =
        item.is_sent ? finished.result.ran : run_state::kNotRun;
    const bool is_unavailable =
        finished.result.error == error_kind::kEndpointUnreachable ||
        finished.result.error == error_kind::kEndpointReplaced;
    if (is_unavailable) {
      endpoint_.OnUnreachable(now);
    }
    Refuse(now, finished.work, *finished.result.error, ran);
  }
  ApplyDecisions(now, decisions);
}

report_effect incoming_work::OnEndpointReported(
    step& now,
    const endpoint_reported& report) {
  const report_effect effect = endpoint_.OnReported(now, report);
  if (effect != report_effect::kIgnored) {
    admission_.OnEndpointReported(now, *endpoint_.report());
  }
  if (effect == report_effect::kReplaced || effect == report_effect::kChanged) {
    now.Log({.kind = decision_kind::kEndpointChanged,
             .service = report.service,
             .endpoint = report.name,
             .run = report.run,
             .limit = report.slots,
             .state = static_cast<std::uint32_t>(report.state)});
  }
  if (effect != report_effect::kReplaced) {
    return effect;
  }
  std::vector<work_id> interrupted;
  for (const auto& [id, item] : work_items_) {
    if (item.is_sent) {
      interrupted.push_back(id);
    }
  }
  for (const work_id id : interrupted) {
    Abandon(now, id, error_kind::kAnswerLost);
  }
  return effect;
}

void incoming_work::OnStopRequested(step& now) {
  stopping_since_ = now.now();
}

bool incoming_work::is_stop_grace_over(instant now) const {
  return stopping_since_ && now - *stopping_since_ >= stop_grace_;
}

void incoming_work::AbortAll(step& now) {
  std::vector<work_id> queued;
  std::vector<work_id> running;
  for (const auto& [id, item] : work_items_) {
    (item.is_executing ? running : queued).push_back(id);
  }
  // Queued work ends first, so that slots freed by running work do not start
  // it.
  for (const work_id id : queued) {
    admission_.OnCancelled(now, id);
    Refuse(now, id, error_kind::kNodeStopping, run_state::kNotRun);
  }
  for (const work_id id : running) {
    Abandon(now, id, error_kind::kAnswerLost);
  }
}

std::vector<work_id> incoming_work::TakeEnded() {
  return std::exchange(ended_, {});
}

void incoming_work::OnTimer(step& now, timer_subscription due) {
  if (due.owner == timer_owner::kAdmission) {
    return ApplyDecisions(now, admission_.OnTimer(now, due.key));
  }
  if (due.owner == timer_owner::kOnce) {
    return keys_.OnTimer(now);
  }
  OnDeadline(now, work_id(due.key));
}

void incoming_work::OnChildCallStarted(step& now, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    return;
  }
  if (found->second.open_child_calls++ == 0) {
    ApplyDecisions(now, admission_.OnWaiting(now, id));
  }
}

void incoming_work::OnChildCallFinished(step&, const ended_child& child) {
  const work_id id = child.parent;
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    return;
  }
  work_item& item = found->second;
  item.has_failed_child_call = item.has_failed_child_call || child.is_failed;
  item.answered_child_calls += child.is_failed ? 0 : 1;
  if (--item.open_child_calls == 0) {
    admission_.OnResumed(id);
  }
}

std::uint16_t incoming_work::AnsweredChildCallCountOf(work_id id) const {
  const auto found = work_items_.find(id);
  return found == work_items_.end() ? 0 : found->second.answered_child_calls;
}

const request_facts* incoming_work::FactsOf(work_id id) const {
  const auto found = work_items_.find(id);
  return found == work_items_.end() ? nullptr : &found->second.facts;
}

void incoming_work::ApplyDecisions(
    step& now,
    const std::vector<admission_decision>& decisions) {
  for (const admission_decision& decision : decisions) {
    if (!work_items_.contains(decision.work)) {
      continue;
    }
    if (decision.refusal) {
      Refuse(now, decision.work, *decision.refusal, run_state::kNotRun);
    } else {
      StartWork(now, decision.work);
    }
  }
}

void incoming_work::StartWork(step& now, work_id id) {
  work_item& item = work_items_.at(id);
  item.is_executing = true;
  executing_by_request_id_[item.facts.own_id] = id;
  // A repeat earns no retries: it was itself paid for from a retry budget.
  if (counts_arrivals_ && !item.facts.is_repeat) {
    retry_budgets_.OnFirstAttempt(now.now(), item.facts.service, false);
  }
  now.Log(Describe(now, decision_kind::kWorkStarted, item));
  now.Emit(run_work{id, endpoint_.name(), item.deadline - now.now()});
}

// Only the id of running work counts, so an unrelated id that happens to
// contain a dot does not name a parent.
std::optional<work_id> incoming_work::FindParentOf(
    const request_id& call) const {
  const std::size_t separator = call.value().rfind('.');
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  const auto found = executing_by_request_id_.find(
      request_id(call.value().substr(0, separator)));
  return found == executing_by_request_id_.end() ? std::nullopt
                                                 : std::optional(found->second);
}

void incoming_work::OnDeadline(step& now, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    return;
  }
  if (found->second.is_executing) {
    return Abandon(now, id, error_kind::kAnswerTimeout);
  }
  const std::vector<admission_decision> decisions =
      admission_.OnCancelled(now, id);
  Refuse(now, id, error_kind::kDeadlineExpired, run_state::kNotRun);
  ApplyDecisions(now, decisions);
}

// The embedder may be about to write the first byte, so whether the work
// was executed is unknown even if it was not sent yet.
void incoming_work::Abandon(step& now, work_id id, error_kind kind) {
  const outcome abandoned{kind, run_state::kUnknown};
  now.Emit(cancel_work{id});
  const std::vector<admission_decision> decisions =
      kind == error_kind::kCallerGone
          ? admission_.OnCancelled(now, id)
          : admission_.OnFinished(now, id, abandoned);
  Refuse(now, id, kind, run_state::kUnknown);
  ApplyDecisions(now, decisions);
}

void incoming_work::Refuse(step& now,
                           work_id id,
                           error_kind kind,
                           run_state ran) {
  const work_item& item = work_items_.at(id);
  if (item.holds_key && ran == run_state::kNotRun) {
    keys_.OnNotExecuted(*item.facts.key, id);
  } else if (item.holds_key) {
    keys_.OnFinished(now, *item.facts.key, id, {kind, ran});
  }
  answer_facts facts = DescribeAnswer(now, item, allowance_.Close(id));
  facts.grants_retry = TryGrantRetry(now, item, kind, ran);
  decision_record refused = Describe(now, decision_kind::kWorkRefused, item);
  refused.error = kind;
  refused.ran = ran;
  refused.level = facts.level;
  refused.retry_after = facts.retry_after;
  if (facts.grants_retry) {
    refused.retry = retry_decision::kAllowed;
  }
  now.Log(std::move(refused));
  if (!item.is_caller_gone) {
    now.Emit(refuse_work{id, kind, ran, facts});
  }
  Close(now, id);
}

// All callers together fill the retry budget of this node, so that a caller
// with few requests, whose own budget is small, can retry too.
bool incoming_work::TryGrantRetry(step& now,
                                  const work_item& item,
                                  error_kind kind,
                                  run_state ran) {
  const bool is_idempotent =
      rows_.SettingsFor(item.facts.service, item.facts.request_class)
          .is_idempotent;
  const bool may_have_reached_endpoint =
      kind == error_kind::kEndpointBusy ||
      (kind == error_kind::kAnswerLost && ran == run_state::kUnknown &&
       is_idempotent);
  return counts_arrivals_ && may_have_reached_endpoint &&
         !item.is_caller_gone && item.facts.allowance > 0 &&
         item.deadline > now.now() &&
         retry_budgets_.TrySpend(now.now(), item.facts.service,
                                 RetryPriorityOf(item.facts));
}

void incoming_work::IssueKey(step& now, work_id id) {
  const work_item& item = work_items_.at(id);
  const std::optional<idempotency_key> key = keys_.Issue(now, item.facts);
  if (!key) {
    return Refuse(now, id, error_kind::kKeyMemoryFull, run_state::kNotRun);
  }
  const answer_facts facts = DescribeAnswer(now, item, allowance_.Close(id));
  now.Emit(answer_with_key{id, *key, facts});
  Close(now, id);
}

// The level includes the dependencies that this class calls, so that callers
// refuse early what would be refused there.
answer_facts incoming_work::DescribeAnswer(const step& now,
                                           const work_item& item,
                                           std::uint16_t allowance) const {
  answer_facts facts;
  admission_.DescribeLoad(now.now(), item.facts, facts);
  facts.level = std::max(facts.level, pressure_.DependencyLevelFor(
                                          now.now(), item.facts.request_class));
  facts.allowance_left = allowance;
  facts.has_failed_below = item.has_failed_child_call;
  return facts;
}

void incoming_work::Close(step& now, work_id id) {
  allowance_.Close(id);
  now.timers().Cancel({timer_owner::kWorks, id.value()});
  const auto closed = work_items_.find(id);
  const auto running =
      executing_by_request_id_.find(closed->second.facts.own_id);
  if (running != executing_by_request_id_.end() && running->second == id) {
    executing_by_request_id_.erase(running);
  }
  work_items_.erase(closed);
  ended_.push_back(id);
}

decision_record incoming_work::Describe(step& now,
                                        decision_kind kind,
                                        const work_item& item) const {
  decision_record record{.kind = kind,
                         .request = item.facts.own_id,
                         .root = item.facts.root,
                         .service = item.facts.service,
                         .request_class = item.facts.request_class,
                         .endpoint = endpoint_.name()};
  record.time_left = item.deadline - now.now();
  record.waited = now.now() - item.arrived;
  record.priority = item.facts.priority;
  record.running = admission_.running();
  record.queued = static_cast<std::uint32_t>(admission_.queued());
  record.limit = admission_.limit();
  return record;
}

}  // namespace auburnfold
