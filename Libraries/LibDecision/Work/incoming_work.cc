#include "LibDecision/Work/incoming_work.h"

#include <algorithm>
#include <utility>

#include "LibDecision/Admission/capacity_switch.h"
#include "LibDecision/Tenants/tenant_digest.h"

namespace auburnfold {

namespace {

decision_kind KindOf(report_result result) {
  switch (result) {
    case report_result::kAccepted:
    case report_result::kChanged:
    case report_result::kReplaced:
      return decision_kind::kEndpointChanged;
    case report_result::kIgnored:
      return decision_kind::kEndpointReportIgnored;
    case report_result::kDeferred:
      return decision_kind::kEndpointReportDeferred;
  }
  return decision_kind::kEndpointReportIgnored;
}

}  // namespace

void incoming_work::Start(event_context& context, const node_started& self) {
  endpoint_.Start(context.now());
  if (awaits_earlier_run_) {
    endpoint_.AwaitEarlierRun();
  }
  run_ = self.run;
  keys_.Start(self.node, self.run);
}

void incoming_work::OnArrived(event_context& context,
                              const work_arrived& arrived) {
  work_item& item = work_items_[arrived.work];
  item.metadata = arrived.metadata;
  if (names_tenants_) {
    item.metadata.digest =
        DigestForTenant(arrived.metadata.digest, arrived.metadata.tenant);
  }
  item.attempt = arrived.attempt;
  item.arrived = context.now();
  item.elapsed_at_arrival = context.elapsed_now();
  item.deadline = context.now() + arrived.metadata.time_left;
  allowances_.Open(arrived.work, arrived.metadata.allowance);
  senders_.OnArrived(context.now(), arrived.from);
  if (arrived.metadata.notice) {
    OnNotice(context, item, *arrived.metadata.notice);
  }
  if (arrived.attempt && !attempts_.OnArrived(*arrived.attempt)) {
    // Its sender may not have heard that, and still wait.
    context.Count(counter::kWithdrawnAttempts);
    return Refuse(context, arrived.work, error_kind::kEndpointUnreachable,
                  execution_state::kNotExecuted);
  }
  // A cached answer is replayed even when no new work is accepted.
  if (arrived.metadata.key && !ClaimKey(context, arrived.work, item)) {
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
                            item.deadline);
  const row_settings& row =
      policies_.SettingsFor(item.metadata.service, item.metadata.request_class);
  admission_.set_plans(IsPlanning(planning_, routes_));
  ApplyDecisions(context,
                 admission_.Offer(context, arrived.work, item.metadata, row));
  const auto waiting = work_items_.find(arrived.work);
  if (waiting != work_items_.end() && !waiting->second.is_executing) {
    context.Log(Describe(context, decision_kind::kWorkQueued, waiting->second));
  }
}

// A sender that expects another incarnation has an outdated view: its choice of
// this node and of its endpoint may be wrong. With `discovery_mode::kRegistry`,
// a view stays outdated for as long as the key-value store is unavailable, so
// the incarnation is not checked: the endpoint's name shows whether it is still
// the same one.
std::optional<error_kind> incoming_work::RefusalFor(
    instant now,
    const work_arrived& arrived) const {
  const bool is_run_expected =
      checks_expected_run_ && arrived.expected_run != incarnation();
  if (is_run_expected && arrived.expected_run != run_) {
    return error_kind::kEndpointUnreachable;
  }
  if (is_stop_grace_over(now) || !HasTimeFor(now, arrived.metadata)) {
    return error_kind::kNodeStopping;
  }
  if (const auto refusal =
          endpoint_.RefusalFor(now, arrived.metadata.service)) {
    return refusal;
  }
  if (arrived.metadata.time_left <= duration::zero()) {
    return error_kind::kDeadlineExpired;
  }
  return RefusalForCrashes(arrived.work,
                           work_items_.at(arrived.work).metadata.digest);
}

// One suspect at a time: the next crash then shows which of them it is.
std::optional<error_kind> incoming_work::RefusalForCrashes(
    work_id work,
    request_digest digest) const {
  switch (quarantine_.VerdictOn(digest)) {
    case crash_verdict::kUnsuspected:
    case crash_verdict::kSuspected:
      return std::nullopt;
    case crash_verdict::kQuarantined:
      return error_kind::kQuarantined;
    case crash_verdict::kIsolated:
      break;
  }
  const bool is_other_isolated = std::any_of(
      work_items_.begin(), work_items_.end(), [&](const auto& entry) {
        return entry.first != work &&
               quarantine_.VerdictOn(entry.second.metadata.digest) ==
                   crash_verdict::kIsolated;
      });
  return is_other_isolated ? std::optional(error_kind::kIsolated)
                           : std::nullopt;
}

bool incoming_work::ClaimKey(event_context& context,
                             work_id id,
                             work_item& item) {
  const bool is_idempotent =
      policies_.SettingsFor(item.metadata.service, item.metadata.request_class)
          .is_idempotent;
  if (is_idempotent && !idempotency_key_registry::HomeOf(*item.metadata.key)) {
    // The key was not issued by a node; the endpoint handles it.
    return true;
  }
  const key_decision decision = keys_.OnWork(context, item.metadata, id);
  switch (decision.action) {
    case key_action::kExecute:
      item.holds_key = true;
      return true;
    case key_action::kReplay: {
      const answer_metadata metadata =
          DescribeAnswer(context, item, allowances_.Close(id));
      context.Emit(replay_answer{id, *item.metadata.key, metadata});
      Close(context, id);
      return false;
    }
    case key_action::kRefuse:
      Refuse(context, id, decision.refusal, decision.execution);
      return false;
  }
  return false;
}

// Running work with a key continues, so that a retry gets its answer.
void incoming_work::OnCancelled(event_context& context, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    return;
  }
  work_item& item = found->second;
  item.is_caller_gone = true;
  if (!item.is_executing) {
    const std::vector<admission_decision> decisions =
        admission_.OnCancelled(context, id);
    Refuse(context, id, error_kind::kCallerGone, execution_state::kNotExecuted);
    return ApplyDecisions(context, decisions);
  }
  if (!item.holds_key) {
    Abandon(context, id, error_kind::kCallerGone);
  }
}

void incoming_work::OnSent(event_context& context, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    // A timer that was due at this event has ended it.
    context.Emit(cancel_work{id});
    return;
  }
  found->second.is_sent = true;
}

void incoming_work::OnFinished(event_context& context,
                               const work_finished& finished) {
  const auto found = work_items_.find(finished.work);
  if (found == work_items_.end()) {
    context.Count(counter::kLateAnswers);
    return;
  }
  work_item& item = found->second;
  if (finished.result.signals) {
    OnSignals(context, item, finished.result);
  }
  const std::vector<admission_decision> decisions =
      admission_.OnFinished(context, finished.work, finished.result);
  if (finished.result.is_complete()) {
    endpoint_.OnAnswered(context);
    if (!finished.result.is_failure) {
      quarantine_.OnAnswered(context, item.metadata.digest);
    }
    if (item.holds_key) {
      keys_.OnFinished(context, *item.metadata.key, finished.work,
                       finished.result);
    }
    const answer_metadata metadata =
        DescribeAnswer(context, item, allowances_.Close(finished.work));
    context.Log(Describe(context, decision_kind::kWorkAnswered, item));
    if (!item.is_caller_gone) {
      context.Emit(relay_work_answer{finished.work, metadata});
    }
    Close(context, finished.work);
  } else {
    const execution_state execution = item.is_sent
                                          ? finished.result.execution
                                          : execution_state::kNotExecuted;
    const bool is_unavailable =
        finished.result.error == error_kind::kEndpointUnreachable ||
        finished.result.error == error_kind::kEndpointReplaced ||
        finished.result.error == error_kind::kEndpointCrashed;
    if (finished.result.error == error_kind::kEndpointCrashed) {
      OnCrashed(context, item);
    }
    const bool is_answer_lost =
        finished.result.error == error_kind::kAnswerLost ||
        finished.result.error == error_kind::kAnswerTruncated;
    if (is_answer_lost && item.metadata.digest != request_digest()) {
      crash_detector_.OnAnswerLost(context.now(), item.metadata.digest);
    }
    if (is_unavailable) {
      endpoint_.OnUnreachable(context);
    }
    Refuse(context, finished.work, *finished.result.error, execution);
  }
  ApplyDecisions(context, decisions);
}

void incoming_work::OnCrashed(event_context& context, const work_item& item) {
  if (!crash_detector_.OnCrashed(context.now(), item.started)) {
    return;
  }
  context.Count(counter::kEndpointCrashes);
  context.Log({.kind = decision_kind::kEndpointCrashed,
               .service = item.metadata.service,
               .endpoint = endpoint_.name(),
               .run = endpoint_.current_run().run,
               .running = admission_.running() + 1});
  // An endpoint that leaves may end while requests are still at work.
  if (endpoint_.is_leaving()) {
    return;
  }
  quarantine_.OnCrash(context, DigestsAtWork());
}

void incoming_work::OnReplacedWithoutNotice(event_context& context) {
  std::vector<request_digest> suspects =
      crash_detector_.OnReplaced(context.now());
  const std::vector<request_digest> at_work = DigestsAtWork();
  suspects.insert(suspects.end(), at_work.begin(), at_work.end());
  if (suspects.empty()) {
    return;
  }
  context.Count(counter::kEndpointCrashes);
  context.Log({.kind = decision_kind::kEndpointCrashed,
               .service = endpoint_.report()->service,
               .endpoint = endpoint_.name(),
               .run = endpoint_.current_run().run,
               .running = admission_.running()});
  quarantine_.OnCrash(context, std::move(suspects));
}

std::vector<request_digest> incoming_work::DigestsAtWork() const {
  std::vector<request_digest> digests;
  for (const auto& [id, item] : work_items_) {
    if (item.is_sent && item.metadata.digest != request_digest()) {
      digests.push_back(item.metadata.digest);
    }
  }
  return digests;
}

void incoming_work::OnSignals(event_context& context,
                              const work_item& item,
                              const outcome& result) {
  const endpoint_signals& signals = *result.signals;
  if (signals.has_unreadable_rate_limit) {
    context.Count(counter::kUnreadableRateLimits);
    context.Log(Describe(context, decision_kind::kRateLimitUnreadable, item));
  }
  if (signals.is_leaving) {
    OnLeaving(context, item, endpoint_.OnLeavingAnswered(context));
  }
  const bool is_changed =
      result.is_complete()
          ? rate_limit_.OnAnswered(context.now(), item.started, signals)
          : rate_limit_.OnRefused(context.now(), item.started, signals);
  if (is_changed) {
    decision_record change =
        Describe(context, decision_kind::kRateLimitChanged, item);
    change.age = context.now() - item.started;
    ApplyRateLimit(context, std::move(change));
  }
}

void incoming_work::OnNotice(event_context& context,
                             const work_item& item,
                             const endpoint_notice& notice) {
  const endpoint_run run{notice.endpoint, notice.run};
  if (notice.is_leaving) {
    OnLeaving(context, item, endpoint_.OnLeavingNotice(context, run));
  }
  const bool is_changed = notice.rate_limit && endpoint_.current_run() == run &&
                          rate_limit_.OnReportedByPeer(*notice.rate_limit);
  if (is_changed) {
    ApplyRateLimit(context,
                   Describe(context, decision_kind::kRateLimitChanged, item));
  }
}

void incoming_work::OnLeaving(event_context& context,
                              const work_item& item,
                              report_result result) {
  if (result == report_result::kIgnored) {
    return;
  }
  is_endpoint_changed_ = true;
  decision_record changed =
      Describe(context, decision_kind::kEndpointChanged, item);
  changed.run = endpoint_.current_run().run;
  changed.state = static_cast<std::uint32_t>(endpoint_.report()->state);
  context.Log(std::move(changed));
}

void incoming_work::ApplyRateLimit(event_context& context,
                                   decision_record change) {
  change.kind = rate_limit_.rate() ? decision_kind::kRateLimitChanged
                                   : decision_kind::kRateLimitEnded;
  change.rate = rate_limit_.rate();
  context.Log(std::move(change));
  ApplyDecisions(context, admission_.SetRateLimit(context, rate_limit_.rate()));
}

report_result incoming_work::OnEndpointReported(
    event_context& context,
    const endpoint_reported& report) {
  const bool was_leaving = endpoint_.is_leaving();
  const report_result result = endpoint_.OnReported(context, report);
  const bool has_effect =
      result != report_result::kIgnored && result != report_result::kDeferred;
  if (has_effect) {
    admission_.OnEndpointReported(context, *endpoint_.report());
  }
  if (result != report_result::kAccepted) {
    // A run that has left stays so, whatever it reports.
    const bool is_overruled =
        has_effect && report.state == endpoint_state::kReady;
    const endpoint_state state =
        is_overruled ? endpoint_.report()->state : report.state;
    context.Log({.kind = KindOf(result),
                 .service = report.service,
                 .endpoint = report.name,
                 .run = report.run,
                 .limit = report.slots,
                 .state = static_cast<std::uint32_t>(state)});
  }
  const bool names_rate =
      has_effect && report.signals && report.signals->rate_limit;
  if (names_rate &&
      rate_limit_.OnRefused(context.now(), context.now(), *report.signals)) {
    ApplyRateLimit(context,
                   {.service = report.service, .endpoint = report.name});
  }
  if (result != report_result::kReplaced) {
    return result;
  }
  if (!was_leaving) {
    OnReplacedWithoutNotice(context);
  }
  if (rate_limit_.rate()) {
    rate_limit_.Reset();
    ApplyRateLimit(context, {.service = report.service,
                             .endpoint = report.name,
                             .run = report.run});
  }
  std::vector<work_id> interrupted;
  for (const auto& [id, item] : work_items_) {
    if (item.is_sent) {
      interrupted.push_back(id);
    }
  }
  for (const work_id id : interrupted) {
    Abandon(context, id, error_kind::kAnswerLost);
  }
  return result;
}

std::optional<endpoint_reported> incoming_work::OnEarlierRunKnown(
    event_context& context,
    const member_record* earlier) {
  std::optional<endpoint_reported> deferred =
      endpoint_.OnEarlierRunKnown(context, earlier);
  if (earlier == nullptr || !earlier->leave) {
    return deferred;
  }
  const endpoint_reported& report = *endpoint_.report();
  admission_.OnEndpointReported(context, report);
  context.Log({.kind = decision_kind::kEndpointChanged,
               .service = report.service,
               .endpoint = report.name,
               .run = report.run,
               .limit = report.slots,
               .state = static_cast<std::uint32_t>(report.state)});
  return deferred;
}

void incoming_work::OnStopRequested(event_context& context) {
  stop_.Begin(context.now());
}

// They would wait at a node that is about to end, while other nodes may have
// room for them.
void incoming_work::RefuseQueued(event_context& context) {
  for (const work_id id : QueuedWork()) {
    admission_.OnCancelled(context, id);
    Refuse(context, id, error_kind::kNodeStopping,
           execution_state::kNotExecuted);
  }
}

std::vector<work_id> incoming_work::QueuedWork() const {
  std::vector<work_id> queued;
  for (const auto& [id, item] : work_items_) {
    if (!item.is_executing) {
      queued.push_back(id);
    }
  }
  return queued;
}

bool incoming_work::HasTimeFor(instant now,
                               const request_metadata& metadata) const {
  return stop_.HasTimeFor(
      now, std::min(admission_.ExpectedTotalTime(metadata.request_class),
                    metadata.time_left));
}

void incoming_work::AbortAll(event_context& context) {
  // Queued work ends first, so that slots freed by running work do not start
  // it.
  RefuseQueued(context);
  std::vector<work_id> running;
  for (const auto& [id, item] : work_items_) {
    running.push_back(id);
  }
  for (const work_id id : running) {
    Abandon(context, id, error_kind::kAnswerLost);
  }
}

std::vector<work_id> incoming_work::TakeEnded() {
  return std::exchange(ended_, {});
}

void incoming_work::OnTimer(event_context& context, timer_id due) {
  if (due.owner == timer_owner::kAdmission) {
    return ApplyDecisions(context, admission_.OnTimer(context, due.key));
  }
  if (due.owner == timer_owner::kIdempotencyKeys) {
    return keys_.OnTimer(context);
  }
  OnDeadline(context, work_id(due.key));
}

void incoming_work::OnChildCallStarted(event_context& context, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    return;
  }
  if (found->second.open_child_calls++ == 0) {
    ApplyDecisions(context, admission_.OnWaiting(context, id));
  }
}

void incoming_work::OnChildCallFinished(event_context&,
                                        const ended_child& child) {
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

const request_metadata* incoming_work::MetadataOf(work_id id) const {
  const auto found = work_items_.find(id);
  return found == work_items_.end() ? nullptr : &found->second.metadata;
}

std::vector<attempt_report> incoming_work::Explain(
    instant now,
    const attempts_queried& query) {
  const bool may_have_arrived =
      query.expected_run != run_ || query.is_receiving;
  std::vector<attempt_report> reports;
  for (const attempt_id attempt : query.attempts) {
    reports.push_back(attempts_.Explain(
        now, {query.from, query.from_run, attempt}, may_have_arrived));
  }
  return reports;
}

void incoming_work::ApplyDecisions(
    event_context& context,
    const std::vector<admission_decision>& decisions) {
  for (const admission_decision& decision : decisions) {
    if (!work_items_.contains(decision.work)) {
      continue;
    }
    if (decision.refusal) {
      Refuse(context, decision.work, *decision.refusal,
             execution_state::kNotExecuted);
    } else {
      StartWork(context, decision.work);
    }
  }
}

void incoming_work::StartWork(event_context& context, work_id id) {
  work_item& item = work_items_.at(id);
  item.is_executing = true;
  item.started = context.now();
  executing_by_request_id_[item.metadata.own_id] = id;
  // A repeat earns no retries: it was itself paid for from a retry budget.
  if (counts_arrivals_ && !item.metadata.is_repeat) {
    retry_budgets_.OnFirstAttempt(context.now(), item.metadata.service, false);
  }
  context.Count(counter::kWorkStarted);
  context.Log(Describe(context, decision_kind::kWorkStarted, item));
  context.Emit(
      execute_work{id, endpoint_.name(), item.deadline - context.now()});
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

void incoming_work::OnDeadline(event_context& context, work_id id) {
  const auto found = work_items_.find(id);
  if (found == work_items_.end()) {
    return;
  }
  if (found->second.is_executing) {
    return Abandon(context, id, error_kind::kAnswerTimeout);
  }
  const std::vector<admission_decision> decisions =
      admission_.OnCancelled(context, id);
  Refuse(context, id, error_kind::kDeadlineExpired,
         execution_state::kNotExecuted);
  ApplyDecisions(context, decisions);
}

// The embedder may be about to write the first byte, so whether the work
// was executed is unknown even if it was not sent yet.
void incoming_work::Abandon(event_context& context,
                            work_id id,
                            error_kind kind) {
  const outcome abandoned{kind, execution_state::kUnknown};
  context.Emit(cancel_work{id});
  const std::vector<admission_decision> decisions =
      kind == error_kind::kCallerGone
          ? admission_.OnCancelled(context, id)
          : admission_.OnFinished(context, id, abandoned);
  Refuse(context, id, kind, execution_state::kUnknown);
  ApplyDecisions(context, decisions);
}

void incoming_work::Refuse(event_context& context,
                           work_id id,
                           error_kind kind,
                           execution_state execution) {
  const work_item& item = work_items_.at(id);
  if (item.holds_key && execution == execution_state::kNotExecuted) {
    keys_.OnNotExecuted(*item.metadata.key, id);
  } else if (item.holds_key) {
    keys_.OnFinished(context, *item.metadata.key, id, {kind, execution});
  }
  answer_metadata metadata =
      DescribeAnswer(context, item, allowances_.Close(id));
  metadata.grants_retry = TryGrantRetry(context, item, kind, execution);
  decision_record refused =
      Describe(context, decision_kind::kWorkRefused, item);
  refused.error = kind;
  refused.execution = execution;
  if (kind == error_kind::kQuarantined) {
    quarantine_.OnRefused(context, item.metadata.digest);
  }
  if (IsAboutCrashes(kind)) {
    refused.digest = item.metadata.digest;
  }
  refused.level = metadata.level;
  refused.retry_after = metadata.retry_after;
  if (metadata.grants_retry) {
    refused.retry = retry_decision::kAllowed;
  }
  context.Log(std::move(refused));
  if (!item.is_caller_gone) {
    context.Emit(refuse_work{id, kind, execution, metadata});
  }
  Close(context, id);
}

// All callers together fill the retry budget of this node, so that a caller
// with few requests, whose own budget is small, can retry too.
bool incoming_work::TryGrantRetry(event_context& context,
                                  const work_item& item,
                                  error_kind kind,
                                  execution_state execution) {
  const bool is_idempotent =
      policies_.SettingsFor(item.metadata.service, item.metadata.request_class)
          .is_idempotent;
  const bool may_have_reached_endpoint =
      kind == error_kind::kEndpointBusy ||
      ((kind == error_kind::kAnswerLost ||
        kind == error_kind::kEndpointCrashed) &&
       execution == execution_state::kUnknown && is_idempotent);
  return counts_arrivals_ && may_have_reached_endpoint &&
         !item.is_caller_gone && item.metadata.allowance > 0 &&
         item.deadline > context.now() &&
         retry_budgets_.TrySpend(context.now(), item.metadata.service,
                                 RetryPriorityOf(item.metadata));
}

void incoming_work::IssueKey(event_context& context, work_id id) {
  const work_item& item = work_items_.at(id);
  const std::optional<idempotency_key> key =
      keys_.Issue(context, item.metadata);
  if (!key) {
    return Refuse(context, id, error_kind::kKeyMemoryFull,
                  execution_state::kNotExecuted);
  }
  const answer_metadata metadata =
      DescribeAnswer(context, item, allowances_.Close(id));
  context.Emit(answer_with_key{id, *key, metadata});
  Close(context, id);
}

// The level includes the dependencies that this class calls, so that callers
// refuse early what would be refused there.
answer_metadata incoming_work::DescribeAnswer(const event_context& context,
                                              const work_item& item,
                                              std::uint16_t allowance) const {
  answer_metadata metadata;
  admission_.DescribeLoad(context.now(), item.metadata, metadata);
  metadata.level = std::max(
      metadata.level,
      pressure_.DependencyLevelFor(context.now(), item.metadata.request_class));
  metadata.allowance_left = allowance;
  metadata.has_failed_child_call = item.has_failed_child_call;
  const bool has_newer_routes =
      item.metadata.routes && item.metadata.routes < routes_.version();
  if (has_newer_routes) {
    metadata.newer_routes = routes_.version();
  }
  if (item.metadata.routes && item.metadata.routes == routes_.version()) {
    metadata.routes_confirmed_age =
        keys_validity_.ConfirmedBefore(item.elapsed_at_arrival);
  }
  if (item.metadata.crash_checksum != quarantine_.checksum()) {
    metadata.crash_checksum = quarantine_.checksum();
  }
  if (rate_limit_.rate()) {
    metadata.send_interval =
        admission_.SendInterval(context.now(), senders_.Count(context.now()));
  }
  if (rate_limit_.rate() || endpoint_.has_departed()) {
    const endpoint_run run = endpoint_.current_run();
    metadata.notice = endpoint_notice{.endpoint = run.name,
                                      .run = run.run,
                                      .rate_limit = rate_limit_.rate(),
                                      .is_leaving = endpoint_.has_departed()};
  }
  return metadata;
}

void incoming_work::Close(event_context& context, work_id id) {
  allowances_.Close(id);
  context.timers().Cancel({timer_owner::kWork, id.value()});
  const auto closed = work_items_.find(id);
  const auto running =
      executing_by_request_id_.find(closed->second.metadata.own_id);
  if (running != executing_by_request_id_.end() && running->second == id) {
    executing_by_request_id_.erase(running);
  }
  if (closed->second.attempt) {
    attempts_.OnEnded(context.now(), *closed->second.attempt);
  }
  work_items_.erase(closed);
  ended_.push_back(id);
}

decision_record incoming_work::Describe(event_context& context,
                                        decision_kind kind,
                                        const work_item& item) const {
  decision_record record{.kind = kind,
                         .request = item.metadata.own_id,
                         .root = item.metadata.root,
                         .service = item.metadata.service,
                         .request_class = item.metadata.request_class,
                         .endpoint = endpoint_.name()};
  record.time_left = item.deadline - context.now();
  record.waited = context.now() - item.arrived;
  record.priority = item.metadata.priority;
  record.running = admission_.running();
  record.queued = static_cast<std::uint32_t>(admission_.queued());
  record.limit = admission_.limit();
  record.is_stopping = stop_.has_begun();
  return record;
}

}  // namespace auburnfold
