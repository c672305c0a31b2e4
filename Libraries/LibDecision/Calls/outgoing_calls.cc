#include "LibDecision/Calls/outgoing_calls.h"

#include <algorithm>
#include <utility>

#include "LibDecision/Admission/capacity_switch.h"
#include "LibDecision/Pressure/rank.h"
#include "LibDecision/Work/local_endpoint.h"

namespace auburnfold {

namespace {

/// Delay for `retry_advice::kAfterFixedDelay`.
constexpr duration kFixedRetryDelay = std::chrono::milliseconds(100);

/// Part of a send interval by which a call may be sent too early. Important
/// calls go first, and child calls before all others, since refusing them would
/// waste the work done for their parents.
double RateToleranceOf(const outgoing_call& call) {
  if (call.parent || call.metadata.depth > 0) {
    return 1;
  }
  return static_cast<double>(call.metadata.priority.value_or(0)) /
         (kHighestPriority + 1);
}

/// Result of an attempt whose connection no longer answers.
constexpr outcome kAnswerNotDelivered{error_kind::kAnswerLost,
                                      execution_state::kUnknown};

}  // namespace

void outgoing_calls::OnArrived(event_context& context,
                               const call_arrived& arrived,
                               const parent_work* parent) {
  call_state& call = calls_[arrived.call];
  call.metadata = arrived.metadata;
  call.arrived = context.now();
  std::optional<error_kind> route_error;
  if (arrived.target) {
    route_error = ApplyRoute(context, arrived, parent, call.metadata);
  }
  const request_metadata& metadata = call.metadata;
  const row_settings& row =
      policies_.SettingsFor(metadata.service, metadata.request_class);
  call.parent = arrived.parent;
  // An unused key that is issued by a repeated request does no harm.
  call.is_idempotent =
      row.is_idempotent || metadata.purpose == request_purpose::kIssueKey;
  call.deadline = context.now() - arrived.waited +
                  std::min(metadata.time_left, row.longest_deadline);
  if (parent != nullptr) {
    call.metadata.priority = parent->metadata.priority;
    call.metadata.is_repeat = parent->metadata.is_repeat;
    call.metadata.answered_siblings = parent->answered_child_calls;
    call.parent_class = parent->metadata.request_class;
    child_calls_by_parent_.emplace(*arrived.parent, arrived.call);
  } else if (!call.metadata.priority) {
    call.metadata.priority = row.priority;
  }
  call.allowance = InitialAllowance(arrived, row);
  if (options_.retries == retry_mode::kArrivals) {
    call.history.max_endpoints =
        static_cast<std::uint16_t>(row.retry_allowance + 1);
  }
  if (route_error) {
    return Refuse(context, arrived.call, *route_error,
                  TraitsOf(*route_error).advice == retry_advice::kNever
                      ? duration::zero()
                      : kFixedRetryDelay);
  }
  const bool is_refused_by_stop =
      (stop_.IsGraceOver(context.now()) && !arrived.parent) ||
      !HasTimeFor(context.now(), call);
  if (is_refused_by_stop) {
    return Refuse(context, arrived.call, error_kind::kNodeStopping,
                  kFixedRetryDelay);
  }
  const bool is_known_service = arrived.target ||
                                policies_.has_service(metadata.service) ||
                                members_.has_service(metadata.service);
  if (!is_known_service) {
    return Refuse(context, arrived.call, error_kind::kUnknownService,
                  duration::zero());
  }
  if (metadata.time_left <= duration::zero() || call.deadline < context.now()) {
    return Refuse(context, arrived.call, error_kind::kDeadlineExpired,
                  duration::zero());
  }
  if (quarantine_.VerdictOn(metadata.digest) == crash_verdict::kQuarantined) {
    quarantine_.OnRefused(context, metadata.digest);
    return Refuse(context, arrived.call, error_kind::kQuarantined,
                  duration::zero());
  }
  context.timers().Schedule({timer_owner::kCalls, arrived.call.value()},
                            call.deadline);
  // The quota of a call tree is taken at its root.
  if (arrived.parent || arrived.has_parent) {
    return Begin(context, arrived.call, call);
  }
  switch (quotas_.Admit(context, arrived.call, metadata.tenant,
                        metadata.objective)) {
    case quota_decision::kWait:
      return;
    case quota_decision::kRefused:
      return RefuseByQuota(context, arrived.call, call);
    case quota_decision::kAdmitted:
      call.uses_quota = true;
      return Begin(context, arrived.call, call);
  }
}

// A request that is cut at its endpoint may have run, so its caller cannot send
// it again; one that is refused can go to another node. What comes late must
// end in time almost for certain: callers have used other nodes for a while.
bool outgoing_calls::HasTimeFor(instant now, const call_state& call) const {
  if (!stop_.has_begun()) {
    return true;
  }
  const class_name& request_class = call.metadata.request_class;
  duration needed = answer_times_.ExpectedTotalTime(request_class);
  if (stop_.IsGraceOver(now)) {
    const bool is_known = needed > duration::zero();
    needed = is_known ? answer_times_.MaxTotalTime(request_class)
                      : call.metadata.objective;
  }
  return stop_.HasTimeFor(now, std::min(needed, call.deadline - now));
}

void outgoing_calls::OnQuotaDecided(event_context& context,
                                    const quota_verdict& verdict) {
  const auto found = calls_.find(verdict.call);
  if (found == calls_.end()) {
    return;
  }
  if (!verdict.is_admitted) {
    return RefuseByQuota(context, verdict.call, found->second);
  }
  if (!HasTimeFor(context.now(), found->second)) {
    return Refuse(context, verdict.call, error_kind::kNodeStopping,
                  kFixedRetryDelay);
  }
  found->second.uses_quota = true;
  Begin(context, verdict.call, found->second);
}

void outgoing_calls::RefuseByQuota(event_context& context,
                                   call_id id,
                                   const call_state& call) {
  const duration retry_after =
      quotas_.OnRefused(context, call.metadata.tenant,
                        Describe(context, decision_kind::kQuotaRefused, call));
  Refuse(context, id, error_kind::kQuotaExceeded, retry_after);
}

void outgoing_calls::Begin(event_context& context,
                           call_id id,
                           call_state& call) {
  if (ShouldRefuseEarly(context, call)) {
    return Refuse(context, id, error_kind::kOverloaded,
                  RetryAfterFor(context, call, error_kind::kOverloaded));
  }
  retry_policy_.OnFirstAttempt(context, call.metadata);
  context.Log(Describe(context, decision_kind::kCallRouted, call));
  Send(context, id, call);
}

std::optional<error_kind> outgoing_calls::ApplyRoute(
    event_context& context,
    const call_arrived& arrived,
    const parent_work* parent,
    request_metadata& metadata) {
  if (!routes_.version()) {
    return error_kind::kNoRoutes;
  }
  const route* found =
      routes_.Match(arrived.target->host, arrived.target->path);
  if (found == nullptr) {
    return error_kind::kUnknownRoute;
  }
  metadata.request_class = found->name;
  metadata.objective = found->objective;
  if (const auto refusal = authenticator_.Authenticate(
          context, arrived, *found,
          parent == nullptr ? nullptr : &parent->metadata, metadata)) {
    return refusal;
  }
  if (found->services.empty()) {
    return error_kind::kNoEndpoint;
  }
  metadata.service = routes_.NextService(*found);
  return std::nullopt;
}

// A client's retry and a call with an unknown parent get no allowance, since
// the allowance of their root request was already handed out. With
// `retry_mode::kArrivals`, the row's allowance bounds how many endpoints one
// call may reach, and the call tree has an allowance of its own.
std::uint16_t outgoing_calls::InitialAllowance(const call_arrived& arrived,
                                               const row_settings& row) {
  const bool counts_arrivals = options_.retries == retry_mode::kArrivals;
  const bool forbids_retries = counts_arrivals && row.retry_allowance == 0;
  if (arrived.metadata.client_attempt > 1 || forbids_retries) {
    return 0;
  }
  if (arrived.parent) {
    return allowances_.Grant(*arrived.parent);
  }
  if (arrived.has_parent) {
    return 0;
  }
  return counts_arrivals ? kMaxRetriesPerCallTree : row.retry_allowance;
}

bool outgoing_calls::ShouldRefuseEarly(event_context& context,
                                       const call_state& call) {
  if (!options_.refuses_early) {
    return false;
  }
  if (call.parent) {
    pressure_.OnChildCall(context.now(), call.parent_class,
                          ServiceClassOf(call));
    // Refusing it would waste the work already done for its parent. It may
    // wait at the endpoint instead, while fewer new requests are admitted.
    if (!options_.refuses_child_calls_early) {
      return false;
    }
  }
  const std::uint16_t level =
      pressure_.LevelFor(context.now(), ServiceClassOf(call));
  const rank request_rank =
      RankOf(call.metadata.priority.value_or(0), call.metadata.root);
  if (PassesLevel(request_rank, level)) {
    return false;
  }
  context.Count(counter::kRefusedEarly);
  return true;
}

bool outgoing_calls::MustRunOnce(call_id call) const {
  const auto found = calls_.find(call);
  return found != calls_.end() && !found->second.is_idempotent;
}

void outgoing_calls::OnCancelled(event_context& context, call_id id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    context.Log(
        Describe(context, decision_kind::kCallCancelled, found->second));
    Close(context, id);
  }
}

void outgoing_calls::OnSent(event_context& context, const attempt_sent& sent) {
  const auto found = calls_by_attempt_.find(sent.attempt);
  if (found == calls_by_attempt_.end()) {
    // A timer that was due at this event has ended its call.
    context.Emit(cancel_attempt{sent.attempt});
    return;
  }
  call_state& call = calls_.at(found->second);
  call.is_attempt_sent = true;
  connections_.OnSent(context, sent.attempt,
                      {.connection = sent.connection,
                       .peer = call.history.tried_nodes.back(),
                       .peer_run = call.attempt_run,
                       .address = call.attempt_address,
                       .request_class = call.metadata.request_class,
                       .deadline = call.deadline});
}

void outgoing_calls::OnAttemptFinished(event_context& context,
                                       const attempt_finished& finished) {
  const auto sent = calls_by_attempt_.find(finished.attempt);
  if (sent == calls_by_attempt_.end()) {
    context.Count(counter::kLateAnswers);
    return;
  }
  const call_id id = sent->second;
  calls_by_attempt_.erase(sent);
  call_state& call = calls_.at(id);
  call.attempt.reset();
  outcome result = finished.result;
  if (call.is_attempt_sent && !result.peer &&
      result.execution == execution_state::kNotExecuted) {
    // Bytes were sent, and no peer reported whether the request was executed.
    result.execution = execution_state::kUnknown;
  }
  if (result.peer) {
    connections_.OnAnswered(context, finished.attempt);
  } else {
    connections_.OnAbandoned(finished.attempt);
  }
  router_.OnFinished(context, call.history.tried_nodes.back(), result,
                     context.now() - call.attempt_started, call.carries_notice,
                     ServiceClassOf(call));
  ReclaimAllowance(call, result);
  pressure_.OnAnswer(context.now(), ServiceClassOf(call),
                     call.history.tried_nodes.back(), result);
  if (result.is_complete() && TryRetryFailedAnswer(context, call, result)) {
    context.Count(counter::kRetries);
    return Send(context, id, call);
  }
  if (result.is_complete()) {
    answer_sizes_.OnAnswer(call.metadata.request_class, result.body_size);
    call.has_useful_answer = !result.is_failure;
    if (call.has_useful_answer) {
      answer_times_.OnTotalTime(call.metadata.request_class,
                                context.now() - call.attempt_started);
      quarantine_.OnAnswered(context, call.metadata.digest);
    }
    context.Log(Describe(context, decision_kind::kCallAnswered, call));
    context.Emit(relay_answer{id, finished.attempt, call.allowance});
    call.has_executed = true;
    return Close(context, id);
  }
  decision_record failed =
      Describe(context, decision_kind::kAttemptFailed, call);
  failed.error = result.error;
  failed.execution = result.execution;
  if (IsAboutCrashes(*result.error)) {
    failed.digest = call.metadata.digest;
  }
  call.crashes += result.error == error_kind::kEndpointCrashed ? 1 : 0;
  failed.age = context.now() - call.attempt_started;
  context.Log(std::move(failed));
  if (MayHaveReachedEndpoint(result)) {
    call.history.OnReached();
  } else {
    ++call.unreached_attempts;
  }
  call.has_executed =
      call.has_executed || result.execution == execution_state::kExecuted;
  call.may_have_executed = call.may_have_executed ||
                           result.execution != execution_state::kNotExecuted;
  RetryOrRefuse(context, id, call, result);
}

void outgoing_calls::RetryOrRefuse(event_context& context,
                                   call_id id,
                                   call_state& call,
                                   const outcome& result) {
  const bool is_quarantined = quarantine_.VerdictOn(call.metadata.digest) ==
                              crash_verdict::kQuarantined;
  if (!is_quarantined && TryRetry(context, call, result)) {
    context.Count(counter::kRetries);
    return Send(context, id, call);
  }
  Refuse(context, id, *result.error,
         RetryAfterFor(context, call, *result.error));
}

bool outgoing_calls::TryRetry(event_context& context,
                              call_state& call,
                              const outcome& result) {
  if (!HasTimeFor(context.now(), call)) {
    return false;
  }
  call.last_retry_decision = retry_policy_.Decide(context, call, result);
  const bool is_allowed = *call.last_retry_decision == retry_decision::kAllowed;
  if (is_allowed && retry_policy_.CountsAgainstAllowance(result)) {
    --call.allowance;
  }
  return is_allowed;
}

// A failed execution of idempotent work may succeed at another endpoint.
// Without a retry, the failure is relayed as the answer.
bool outgoing_calls::TryRetryFailedAnswer(event_context& context,
                                          call_state& call,
                                          const outcome& result) {
  const bool is_own_failure =
      result.is_failure && result.peer && !result.peer->has_failed_child_call;
  const bool may_retry = is_own_failure && call.is_idempotent &&
                         options_.retries == retry_mode::kArrivals &&
                         call.deadline > context.now();
  if (!may_retry) {
    return false;
  }
  call.has_executed = true;
  call.history.OnReached();
  const outcome failed{error_kind::kAnswerLost, execution_state::kExecuted};
  return TryRetry(context, call, failed);
}

// An answer returns at most what its attempt was given, and the retries given
// to an attempt whose answer is lost count as spent. With
// `retry_mode::kArrivals`, they are returned instead: the retry budget of
// each service bounds what child calls spent, so a lost answer costs one retry
// like any other.
void outgoing_calls::ReclaimAllowance(call_state& call,
                                      const outcome& result) const {
  const std::uint16_t left_if_lost =
      options_.retries == retry_mode::kArrivals ? call.attempt_allowance : 0;
  const std::uint16_t returned =
      result.peer
          ? std::min(result.peer->allowance_left, call.attempt_allowance)
          : left_if_lost;
  call.allowance = static_cast<std::uint16_t>(call.allowance + returned);
  call.attempt_allowance = 0;
}

void outgoing_calls::OnTimer(event_context& context, std::uint64_t key) {
  const call_id id(key);
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.attempt) {
    router_.OnTimedOut(context, found->second.history.tried_nodes.back());
    connections_.OnDeadline(context, *found->second.attempt);
  }
  Refuse(context, id, error_kind::kAnswerTimeout, duration::zero());
}

void outgoing_calls::OnAttemptReports(
    event_context& context,
    const attempt_reports_received& received) {
  if (received.reports) {
    for (const attempt_report& report : *received.reports) {
      LogReport(context, decision_kind::kAttemptQueried, report);
    }
  }
  for (const attempt_report& lost : connections_.OnReports(context, received)) {
    if (lost.state == attempt_state::kNeverArrived) {
      OnRequestLost(context, lost);
    } else {
      OnAnswerLost(context, lost);
    }
  }
}

void outgoing_calls::LogReport(event_context& context,
                               decision_kind kind,
                               const attempt_report& report) {
  const auto found = calls_by_attempt_.find(report.attempt);
  if (found == calls_by_attempt_.end()) {
    return;
  }
  decision_record record = Describe(context, kind, calls_.at(found->second));
  record.evidence = report.state;
  if (report.state == attempt_state::kAnswered) {
    record.age = report.answered_ago;
  }
  context.Log(std::move(record));
}

// The other node refuses the request if it still arrives, so it may be sent
// again whatever it does, and what travelled with it is unspent.
void outgoing_calls::OnRequestLost(event_context& context,
                                   const attempt_report& lost) {
  context.Count(counter::kRequestsNeverArrived);
  const call_id id = calls_by_attempt_.at(lost.attempt);
  call_state& call = calls_.at(id);
  call.allowance =
      static_cast<std::uint16_t>(call.allowance + call.attempt_allowance);
  call.attempt_allowance = 0;
  ++call.unreached_attempts;
  DropAttempt(context, call, lost);
  RetryOrRefuse(
      context, id, call,
      {error_kind::kEndpointUnreachable, execution_state::kNotExecuted});
}

// The answer may still arrive through a very slow link, so the attempt is only
// given up for a retry.
void outgoing_calls::OnAnswerLost(event_context& context,
                                  const attempt_report& lost) {
  context.Count(counter::kAnswersLost);
  const call_id id = calls_by_attempt_.at(lost.attempt);
  call_state& call = calls_.at(id);
  const std::uint16_t allowance = call.allowance;
  const std::uint16_t attempt_allowance = call.attempt_allowance;
  ReclaimAllowance(call, kAnswerNotDelivered);
  const bool is_quarantined = quarantine_.VerdictOn(call.metadata.digest) ==
                              crash_verdict::kQuarantined;
  if (is_quarantined || !TryRetry(context, call, kAnswerNotDelivered)) {
    call.allowance = allowance;
    call.attempt_allowance = attempt_allowance;
    return;
  }
  call.has_executed = true;
  call.history.OnReached();
  DropAttempt(context, call, lost);
  context.Count(counter::kRetries);
  Send(context, id, call);
}

// The endpoint answers other requests, so this does not count as its failure.
void outgoing_calls::DropAttempt(event_context& context,
                                 call_state& call,
                                 const attempt_report& lost) {
  LogReport(context, decision_kind::kConnectionDropped, lost);
  calls_by_attempt_.erase(lost.attempt);
  call.attempt.reset();
  connections_.Drop(context, lost.attempt);
  router_.OnCancelled(context, call.history.tried_nodes.back());
  context.Emit(cancel_attempt{lost.attempt});
}

void outgoing_calls::AbortAll(event_context& context) {
  std::vector<call_id> open_calls;
  for (const auto& [id, call] : calls_) {
    open_calls.push_back(id);
  }
  for (const call_id id : open_calls) {
    Refuse(context, id, error_kind::kNodeStopping, kFixedRetryDelay);
  }
}

void outgoing_calls::CancelChildCallsOf(event_context& context,
                                        work_id parent) {
  std::vector<call_id> child_calls;
  const auto [first, last] = child_calls_by_parent_.equal_range(parent);
  for (auto child = first; child != last; ++child) {
    child_calls.push_back(child->second);
  }
  for (const call_id id : child_calls) {
    context.Count(counter::kCancelledDown);
    Refuse(context, id, error_kind::kCallerGone, duration::zero());
  }
}

void outgoing_calls::Send(event_context& context,
                          call_id id,
                          call_state& call) {
  const member_record* chosen = ChooseMember(context, id, call);
  if (chosen == nullptr) {
    return;
  }
  const attempt_id attempt(next_attempt_id_++);
  call.attempt = attempt;
  call.attempt_started = context.now();
  call.elapsed_at_attempt = context.elapsed_now();
  call.attempt_address = chosen->address;
  call.attempt_run = chosen->run;
  call.is_attempt_sent = false;
  call.history.tried_nodes.push_back(chosen->node);
  calls_by_attempt_[attempt] = id;
  router_.OnSent(context, *chosen, call.metadata.request_class);
  request_metadata metadata = call.metadata;
  metadata.time_left = call.deadline - context.now();
  metadata.is_repeat =
      metadata.is_repeat || call.history.may_have_reached_endpoint();
  // Retries handed to the attempt count as spent until its answer returns them.
  call.attempt_allowance = std::exchange(call.allowance, std::uint16_t{0});
  metadata.allowance = call.attempt_allowance;
  metadata.routes = routes_.version();
  metadata.crash_checksum = quarantine_.checksum();
  metadata.notice = router_.NoticeOf(chosen->node);
  call.carries_notice = metadata.notice.has_value();
  context.Count(counter::kAttempts);
  decision_record sent = Describe(context, decision_kind::kAttemptSent, call);
  sent.run = chosen->run;
  sent.candidates = static_cast<std::uint32_t>(router_.candidate_count());
  context.Log(std::move(sent));
  context.Emit(send_attempt{attempt, id, chosen->node, chosen->run,
                            chosen->address, std::move(metadata)});
}

const member_record* outgoing_calls::ChooseMember(event_context& context,
                                                  call_id id,
                                                  const call_state& call) {
  const bool has_key =
      call.metadata.key && call.metadata.purpose == request_purpose::kExecute;
  if (has_key) {
    const auto home = idempotency_key_registry::HomeOf(*call.metadata.key);
    if (home) {
      return ChooseKeyHome(context, id, *home);
    }
    if (!call.is_idempotent) {
      Refuse(context, id, error_kind::kKeyNotIssued, duration::zero());
      return nullptr;
    }
  }
  router_.set_plans(IsPlanning(options_.planning, routes_));
  const member_record* chosen = router_.Choose(
      context, call.metadata.service, call.history, RateToleranceOf(call));
  if (chosen != nullptr) {
    return chosen;
  }
  if (const std::optional<instant>& next_send_at = router_.next_send_at()) {
    RefuseByRate(context, id, *next_send_at);
  } else {
    Refuse(context, id, error_kind::kNoEndpoint, kFixedRetryDelay);
  }
  return nullptr;
}

// The delay is spread, since callers that were refused together would otherwise
// return together.
void outgoing_calls::RefuseByRate(event_context& context,
                                  call_id id,
                                  instant next_send_at) {
  context.Count(counter::kRefusedByRateLimit);
  const duration wait =
      std::max(kFixedRetryDelay, next_send_at - context.now());
  Refuse(context, id, error_kind::kRateLimited,
         std::chrono::duration_cast<duration>(wait *
                                              (1 + context.RandomFraction())));
}

// A home that this node does not know yet may be new, so the caller retries
// later. A home that was replaced or has left can no longer tell whether an
// earlier attempt was executed.
const member_record* outgoing_calls::ChooseKeyHome(event_context& context,
                                                   call_id id,
                                                   const key_home& home) {
  const member_record* record = members_.Find(home.node);
  if (record == nullptr || record->run < home.run) {
    Refuse(context, id, error_kind::kNoEndpoint, kFixedRetryDelay);
    return nullptr;
  }
  if (record->run > home.run || record->state == member_state::kGone) {
    calls_.at(id).may_have_executed = true;
    Refuse(context, id, error_kind::kKeyHomeGone, duration::zero());
    return nullptr;
  }
  return record;
}

void outgoing_calls::Refuse(event_context& context,
                            call_id id,
                            error_kind kind,
                            duration retry_after) {
  const call_state& call = calls_.at(id);
  const execution_state execution = ExecutionStateOf(call);
  decision_record refused =
      Describe(context, decision_kind::kCallRefused, call);
  refused.error = kind;
  refused.execution = execution;
  refused.retry_after = retry_after;
  refused.level = pressure_.LevelFor(context.now(), ServiceClassOf(call));
  refused.retry = call.last_retry_decision;
  if (IsAboutCrashes(kind)) {
    refused.digest = call.metadata.digest;
  }
  context.Log(std::move(refused));
  context.Emit(refuse_call{id, kind, execution, retry_after, call.allowance});
  Close(context, id);
}

execution_state outgoing_calls::ExecutionStateOf(const call_state& call) {
  if (call.has_executed) {
    return execution_state::kExecuted;
  }
  const bool may_have_executed = call.may_have_executed || call.attempt;
  return may_have_executed ? execution_state::kUnknown
                           : execution_state::kNotExecuted;
}

void outgoing_calls::Close(event_context& context, call_id id) {
  const auto found = calls_.find(id);
  const call_state& call = found->second;
  quotas_.Forget(id);
  if (call.uses_quota &&
      ExecutionStateOf(call) == execution_state::kNotExecuted) {
    quotas_.Refund(context.now(), call.metadata.tenant);
  }
  if (call.attempt) {
    calls_by_attempt_.erase(*call.attempt);
    connections_.OnAbandoned(*call.attempt);
    router_.OnCancelled(context, call.history.tried_nodes.back());
    context.Emit(cancel_attempt{*call.attempt});
  }
  if (call.parent) {
    allowances_.Return(*call.parent, call.allowance);
    const auto [first, last] = child_calls_by_parent_.equal_range(*call.parent);
    child_calls_by_parent_.erase(std::find_if(
        first, last, [id](const auto& child) { return child.second == id; }));
    ended_child_calls_.push_back({*call.parent, !call.has_useful_answer});
  }
  context.timers().Cancel({timer_owner::kCalls, id.value()});
  calls_.erase(found);
}

std::optional<node_id> outgoing_calls::NodeOf(attempt_id attempt) const {
  const auto found = calls_by_attempt_.find(attempt);
  if (found == calls_by_attempt_.end()) {
    return std::nullopt;
  }
  return calls_.at(found->second).history.tried_nodes.back();
}

std::optional<instant> outgoing_calls::SentAt(attempt_id attempt) const {
  const auto found = calls_by_attempt_.find(attempt);
  return found == calls_by_attempt_.end()
             ? std::nullopt
             : std::optional(calls_.at(found->second).elapsed_at_attempt);
}

std::vector<ended_child> outgoing_calls::TakeEndedChildCalls() {
  return std::exchange(ended_child_calls_, {});
}

decision_record outgoing_calls::Describe(event_context& context,
                                         decision_kind kind,
                                         const call_state& call) const {
  decision_record record{.kind = kind,
                         .request = call.metadata.own_id,
                         .root = call.metadata.root,
                         .service = call.metadata.service,
                         .request_class = call.metadata.request_class};
  if (!call.history.tried_nodes.empty()) {
    record.node = call.history.tried_nodes.back();
  }
  if (routes_.version()) {
    record.routes = routes_.version();
  }
  record.time_left = call.deadline - context.now();
  record.waited = context.now() - call.arrived;
  record.attempt = static_cast<std::uint32_t>(call.history.tried_nodes.size());
  record.priority = call.metadata.priority;
  record.is_stopping = stop_.has_begun();
  return record;
}

duration outgoing_calls::RetryAfterFor(event_context& context,
                                       const call_state& call,
                                       error_kind kind) const {
  switch (TraitsOf(kind).advice) {
    case retry_advice::kNever:
      return duration::zero();
    case retry_advice::kAfterFixedDelay:
      return kFixedRetryDelay;
    case retry_advice::kAfterPressureDelay:
      return pressure_.RetryAfter(context, ServiceClassOf(call));
  }
  return duration::zero();
}

}  // namespace auburnfold
