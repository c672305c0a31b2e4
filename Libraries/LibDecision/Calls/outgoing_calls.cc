#include "LibDecision/Calls/outgoing_calls.h"

#include <algorithm>
#include <utility>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/Work/local_endpoint.h"

namespace auburnfold {

namespace {

constexpr duration kShortRetryDelay = std::chrono::milliseconds(100);

/// Result of an attempt whose connection no longer answers.
constexpr outcome kConnectionLost{error_kind::kAnswerLost, run_state::kUnknown};

}  // namespace

void outgoing_calls::OnArrived(step& now,
                               const call_arrived& arrived,
                               const parent_work* parent) {
  call_state& call = calls_[arrived.call];
  call.facts = arrived.facts;
  call.arrived = now.now();
  std::optional<error_kind> route_error;
  if (arrived.target) {
    route_error = ApplyRoute(*arrived.target, call.facts);
  }
  const request_facts& facts = call.facts;
  const row_settings& row =
      rows_.SettingsFor(facts.service, facts.request_class);
  call.parent = arrived.parent;
  // An unused key that is issued by a repeated request does no harm.
  call.is_idempotent =
      row.is_idempotent || facts.purpose == request_purpose::kIssueKey;
  call.deadline = now.now() + std::min(facts.time_left, row.longest_deadline);
  if (parent != nullptr) {
    call.facts.priority = parent->facts.priority;
    call.facts.is_repeat = parent->facts.is_repeat;
    call.facts.answered_siblings = parent->answered_child_calls;
    call.parent_class = parent->facts.request_class;
    child_calls_by_parent_.emplace(*arrived.parent, arrived.call);
  } else if (!call.facts.priority) {
    call.facts.priority = row.priority;
  }
  call.allowance = InitialAllowance(arrived, row);
  if (options_.retries == retry_choice::kArrivals) {
    call.history.max_endpoints =
        static_cast<std::uint16_t>(row.retry_allowance + 1);
  }
  if (route_error) {
    return Refuse(now, arrived.call, *route_error,
                  AnswerFor(*route_error).when == come_back::kNever
                      ? duration::zero()
                      : kShortRetryDelay);
  }
  const bool is_stop_grace_over =
      stopping_since_ && now.now() - *stopping_since_ >= options_.stop_grace;
  if (is_stop_grace_over && !arrived.parent) {
    return Refuse(now, arrived.call, error_kind::kNodeStopping,
                  kShortRetryDelay);
  }
  const bool is_known_service = arrived.target ||
                                rows_.has_service(facts.service) ||
                                members_.has_service(facts.service);
  if (!is_known_service) {
    return Refuse(now, arrived.call, error_kind::kUnknownService,
                  duration::zero());
  }
  if (facts.time_left <= duration::zero()) {
    return Refuse(now, arrived.call, error_kind::kDeadlineExpired,
                  duration::zero());
  }
  now.timers().Subscribe({timer_owner::kCalls, arrived.call.value()},
                         call.deadline);
  if (ShouldRefuseEarly(now, call)) {
    return Refuse(now, arrived.call, error_kind::kOverloaded,
                  RetryAfterFor(now, call, error_kind::kOverloaded));
  }
  retry_policy_.OnFirstAttempt(now, facts);
  now.Log(Describe(now, decision_kind::kCallRouted, call));
  Send(now, arrived.call, call);
}

std::optional<error_kind> outgoing_calls::ApplyRoute(const route_target& target,
                                                     request_facts& facts) {
  if (!routes_.version()) {
    return error_kind::kNoRoutes;
  }
  const route* found = routes_.Match(target.host, target.path);
  if (found == nullptr) {
    return error_kind::kUnknownRoute;
  }
  facts.service = routes_.NextService(*found);
  facts.request_class = found->name;
  facts.objective = found->objective;
  return std::nullopt;
}

// A client's retry and a call with an unknown parent get no allowance, since
// the allowance of their root request was already handed out. With
// `retry_choice::kArrivals`, the row's allowance bounds how many endpoints one
// call may reach, and the call tree has an allowance of its own.
std::uint16_t outgoing_calls::InitialAllowance(const call_arrived& arrived,
                                               const row_settings& row) {
  const bool counts_arrivals = options_.retries == retry_choice::kArrivals;
  const bool is_single = counts_arrivals && row.retry_allowance == 0;
  if (arrived.facts.client_attempt > 1 || is_single) {
    return 0;
  }
  if (arrived.parent) {
    return allowance_.Grant(*arrived.parent);
  }
  if (arrived.has_parent) {
    return 0;
  }
  return counts_arrivals ? kTreeRetries : row.retry_allowance;
}

bool outgoing_calls::ShouldRefuseEarly(step& now, const call_state& call) {
  if (!options_.refuses_early) {
    return false;
  }
  if (call.parent) {
    pressure_.OnChildCall(now.now(), call.parent_class, ServiceClassOf(call));
    // Refusing it would waste the work already done for its parent. It may
    // wait at the endpoint instead, while fewer new requests are admitted.
    if (!options_.refuses_running_early) {
      return false;
    }
  }
  const std::uint16_t level =
      pressure_.LevelFor(now.now(), ServiceClassOf(call));
  const rank position =
      RankOf(call.facts.priority.value_or(0), call.facts.root);
  if (PassesLevel(position, level)) {
    return false;
  }
  now.Count(counter::kRefusedEarly);
  return true;
}

void outgoing_calls::OnCancelled(step& now, call_id id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) {
    now.Log(Describe(now, decision_kind::kCallCancelled, found->second));
    Close(now, id);
  }
}

void outgoing_calls::OnSent(step& now, const attempt_sent& sent) {
  const auto found = calls_by_attempt_.find(sent.attempt);
  if (found == calls_by_attempt_.end()) {
    // A timer of this same event has ended its call.
    now.Emit(cancel_attempt{sent.attempt});
    return;
  }
  call_state& call = calls_.at(found->second);
  call.is_attempt_sent = true;
  connections_.OnSent(now, sent.attempt, sent.connection,
                      call.history.tried_nodes.back(),
                      call.facts.request_class);
}

void outgoing_calls::OnAttemptFinished(step& now,
                                       const attempt_finished& finished) {
  const auto sent = calls_by_attempt_.find(finished.attempt);
  if (sent == calls_by_attempt_.end()) {
    now.Count(counter::kLateAnswers);
    return;
  }
  const call_id id = sent->second;
  calls_by_attempt_.erase(sent);
  call_state& call = calls_.at(id);
  call.attempt.reset();
  outcome result = finished.result;
  if (call.is_attempt_sent && !result.peer &&
      result.ran == run_state::kNotRun) {
    // Bytes were sent and no peer reported whether the request was executed.
    result.ran = run_state::kUnknown;
  }
  if (result.peer) {
    connections_.OnAnswered(now, finished.attempt);
  } else {
    connections_.OnAbandoned(finished.attempt);
  }
  router_.OnFinished(now, call.history.tried_nodes.back(), result,
                     now.now() - call.attempt_started);
  ReclaimAllowance(call, result);
  pressure_.OnAnswer(now.now(), ServiceClassOf(call),
                     call.history.tried_nodes.back(), result);
  if (result.is_whole() && TryRetryFailedAnswer(now, call, result)) {
    now.Count(counter::kRetries);
    return Send(now, id, call);
  }
  if (result.is_whole()) {
    call.has_useful_answer = !result.is_failure;
    now.Log(Describe(now, decision_kind::kCallAnswered, call));
    now.Emit(relay_answer{id, finished.attempt, call.allowance});
    return Close(now, id);
  }
  decision_record failed = Describe(now, decision_kind::kAttemptFailed, call);
  failed.error = result.error;
  failed.ran = result.ran;
  failed.age = now.now() - call.attempt_started;
  now.Log(std::move(failed));
  if (MayHaveReachedEndpoint(result)) {
    call.history.OnReached();
  } else {
    ++call.unreached_attempts;
  }
  call.has_executed = call.has_executed || result.ran == run_state::kRan;
  call.may_have_executed =
      call.may_have_executed || result.ran != run_state::kNotRun;
  RetryOrRefuse(now, id, call, result);
}

void outgoing_calls::RetryOrRefuse(step& now,
                                   call_id id,
                                   call_state& call,
                                   const outcome& result) {
  if (TryRetry(now, call, result)) {
    now.Count(counter::kRetries);
    return Send(now, id, call);
  }
  Refuse(now, id, *result.error, RetryAfterFor(now, call, *result.error));
}

bool outgoing_calls::TryRetry(step& now,
                              call_state& call,
                              const outcome& result) {
  call.last_retry_decision = retry_policy_.Decide(now, call, result);
  const bool is_allowed = *call.last_retry_decision == retry_decision::kAllowed;
  if (is_allowed && retry_policy_.CountsAgainstAllowance(result)) {
    --call.allowance;
  }
  return is_allowed;
}

// A failed execution of idempotent work may succeed at another endpoint.
// Without a retry, the failure is relayed as the answer.
bool outgoing_calls::TryRetryFailedAnswer(step& now,
                                          call_state& call,
                                          const outcome& result) {
  const bool is_own_failure =
      result.is_failure && result.peer && !result.peer->has_failed_below;
  const bool may_retry = is_own_failure && call.is_idempotent &&
                         options_.retries == retry_choice::kArrivals &&
                         call.deadline > now.now();
  if (!may_retry) {
    return false;
  }
  call.has_executed = true;
  call.history.OnReached();
  const outcome failed{error_kind::kAnswerLost, run_state::kRan};
  return TryRetry(now, call, failed);
}

// An answer returns at most what its attempt was given, and the retries given
// to an attempt whose answer is lost count as spent. With
// `retry_choice::kArrivals`, they are returned instead: the retry budget of
// each service bounds what child calls spent, so a lost answer costs one retry
// like any other.
void outgoing_calls::ReclaimAllowance(call_state& call,
                                      const outcome& result) const {
  const std::uint16_t left_if_lost =
      options_.retries == retry_choice::kArrivals ? call.attempt_allowance : 0;
  const std::uint16_t returned =
      result.peer
          ? std::min(result.peer->allowance_left, call.attempt_allowance)
          : left_if_lost;
  call.allowance = static_cast<std::uint16_t>(call.allowance + returned);
  call.attempt_allowance = 0;
}

void outgoing_calls::OnTimer(step& now, std::uint64_t key) {
  const call_id id(key);
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.attempt) {
    router_.OnTimedOut(now, found->second.history.tried_nodes.back());
    connections_.OnDeadline(now, *found->second.attempt);
  }
  Refuse(now, id, error_kind::kAnswerTimeout, duration::zero());
}

void outgoing_calls::OnConnectionTimer(step& now) {
  const auto may_abandon = [this, &now](attempt_id attempt) {
    const call_state& call = calls_.at(calls_by_attempt_.at(attempt));
    return options_.retries != retry_choice::kArrivals ||
           (call.allowance + call.attempt_allowance > 0 &&
            retry_policy::IsSafeToRetry(now.now(), call, kConnectionLost));
  };
  for (const attempt_id lost : connections_.OnTimer(now, may_abandon)) {
    OnConnectionLost(now, lost);
  }
}

// The endpoint answers other requests, so this does not count as its failure.
// Whether the request reached it is not known.
void outgoing_calls::OnConnectionLost(step& now, attempt_id attempt) {
  const call_id id = calls_by_attempt_.at(attempt);
  calls_by_attempt_.erase(attempt);
  call_state& call = calls_.at(id);
  call.attempt.reset();
  call.may_have_executed = true;
  call.history.OnReached();
  ReclaimAllowance(call, kConnectionLost);
  router_.OnCancelled(now, call.history.tried_nodes.back());
  now.Emit(cancel_attempt{attempt});
  now.Log(Describe(now, decision_kind::kConnectionDropped, call));
  RetryOrRefuse(now, id, call, kConnectionLost);
}

void outgoing_calls::AbortAll(step& now) {
  std::vector<call_id> open_calls;
  for (const auto& [id, call] : calls_) {
    open_calls.push_back(id);
  }
  for (const call_id id : open_calls) {
    Refuse(now, id, error_kind::kNodeStopping, kShortRetryDelay);
  }
}

void outgoing_calls::CancelChildCallsOf(step& now, work_id parent) {
  std::vector<call_id> child_calls;
  const auto [first, last] = child_calls_by_parent_.equal_range(parent);
  for (auto child = first; child != last; ++child) {
    child_calls.push_back(child->second);
  }
  for (const call_id id : child_calls) {
    now.Count(counter::kCancelledDown);
    Refuse(now, id, error_kind::kCallerGone, duration::zero());
  }
}

void outgoing_calls::Send(step& now, call_id id, call_state& call) {
  const member_record* chosen = ChooseMember(now, id, call);
  if (chosen == nullptr) {
    return;
  }
  const attempt_id attempt(next_attempt_id_++);
  call.attempt = attempt;
  call.attempt_started = now.now();
  call.is_attempt_sent = false;
  call.history.tried_nodes.push_back(chosen->node);
  calls_by_attempt_[attempt] = id;
  router_.OnSent(now, *chosen);
  request_facts facts = call.facts;
  facts.time_left = call.deadline - now.now();
  facts.is_repeat = facts.is_repeat || call.history.may_have_reached_endpoint();
  // Retries handed to the attempt count as spent until its answer returns them.
  call.attempt_allowance = std::exchange(call.allowance, std::uint16_t{0});
  facts.allowance = call.attempt_allowance;
  now.Count(counter::kAttempts);
  decision_record sent = Describe(now, decision_kind::kAttemptSent, call);
  sent.run = chosen->run;
  sent.candidates = static_cast<std::uint32_t>(router_.candidate_count());
  now.Log(std::move(sent));
  now.Emit(send_attempt{attempt, id, chosen->node, chosen->run, chosen->address,
                        std::move(facts)});
}

const member_record* outgoing_calls::ChooseMember(step& now,
                                                  call_id id,
                                                  const call_state& call) {
  const bool has_key =
      call.facts.key && call.facts.purpose == request_purpose::kRun;
  if (has_key) {
    const auto home = idempotency_key_registry::HomeOf(*call.facts.key);
    if (home) {
      return ChooseKeyHome(now, id, *home);
    }
    if (!call.is_idempotent) {
      Refuse(now, id, error_kind::kKeyNotIssued, duration::zero());
      return nullptr;
    }
  }
  const member_record* chosen =
      router_.Choose(now, call.facts.service, call.history);
  if (chosen == nullptr) {
    Refuse(now, id, error_kind::kNoEndpoint, kShortRetryDelay);
  }
  return chosen;
}

// A home that this node does not know yet may be new, so the caller retries
// later. A home that was replaced or has left can no longer tell whether an
// earlier attempt was executed.
const member_record* outgoing_calls::ChooseKeyHome(step& now,
                                                   call_id id,
                                                   const key_home& home) {
  const member_record* record = members_.Find(home.node);
  if (record == nullptr || record->run < home.run) {
    Refuse(now, id, error_kind::kNoEndpoint, kShortRetryDelay);
    return nullptr;
  }
  if (record->run > home.run || record->state == member_state::kGone) {
    calls_.at(id).may_have_executed = true;
    Refuse(now, id, error_kind::kKeyHomeGone, duration::zero());
    return nullptr;
  }
  return record;
}

void outgoing_calls::Refuse(step& now,
                            call_id id,
                            error_kind kind,
                            duration retry_after) {
  const call_state& call = calls_.at(id);
  const run_state ran = ExecutionStateOf(call);
  decision_record refused = Describe(now, decision_kind::kCallRefused, call);
  refused.error = kind;
  refused.ran = ran;
  refused.retry_after = retry_after;
  refused.level = pressure_.LevelFor(now.now(), ServiceClassOf(call));
  refused.retry = call.last_retry_decision;
  now.Log(std::move(refused));
  now.Emit(refuse_call{id, kind, ran, retry_after, call.allowance});
  Close(now, id);
}

run_state outgoing_calls::ExecutionStateOf(const call_state& call) {
  if (call.has_executed) {
    return run_state::kRan;
  }
  const bool may_have_executed = call.may_have_executed || call.attempt;
  return may_have_executed ? run_state::kUnknown : run_state::kNotRun;
}

void outgoing_calls::Close(step& now, call_id id) {
  const auto found = calls_.find(id);
  const call_state& call = found->second;
  if (call.attempt) {
    calls_by_attempt_.erase(*call.attempt);
    connections_.OnAbandoned(*call.attempt);
    router_.OnCancelled(now, call.history.tried_nodes.back());
    now.Emit(cancel_attempt{*call.attempt});
  }
  if (call.parent) {
    allowance_.Return(*call.parent, call.allowance);
    const auto [first, last] = child_calls_by_parent_.equal_range(*call.parent);
    child_calls_by_parent_.erase(std::find_if(
        first, last, [id](const auto& child) { return child.second == id; }));
    ended_child_calls_.push_back({*call.parent, !call.has_useful_answer});
  }
  now.timers().Cancel({timer_owner::kCalls, id.value()});
  calls_.erase(found);
}

std::vector<ended_child> outgoing_calls::TakeEndedChildCalls() {
  return std::exchange(ended_child_calls_, {});
}

decision_record outgoing_calls::Describe(step& now,
                                         decision_kind kind,
                                         const call_state& call) const {
  decision_record record{.kind = kind,
                         .request = call.facts.own_id,
                         .root = call.facts.root,
                         .service = call.facts.service,
                         .request_class = call.facts.request_class};
  if (!call.history.tried_nodes.empty()) {
    record.node = call.history.tried_nodes.back();
  }
  if (routes_.version()) {
    record.routes = routes_.version();
  }
  record.time_left = call.deadline - now.now();
  record.waited = now.now() - call.arrived;
  record.attempt = static_cast<std::uint32_t>(call.history.tried_nodes.size());
  record.priority = call.facts.priority;
  return record;
}

duration outgoing_calls::RetryAfterFor(step& now,
                                       const call_state& call,
                                       error_kind kind) const {
  switch (AnswerFor(kind).when) {
    case come_back::kNever:
      return duration::zero();
    case come_back::kSoon:
      return kShortRetryDelay;
    case come_back::kAfterPressure:
      return pressure_.RetryAfter(now, ServiceClassOf(call));
  }
  return duration::zero();
}

}  // namespace auburnfold
