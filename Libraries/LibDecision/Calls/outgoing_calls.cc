#include "LibDecision/Calls/outgoing_calls.h"

#include <algorithm>
#include <utility>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/Works/own_endpoint.h"

namespace auburnfold {

namespace {

constexpr duration kSoonRetryAfter = std::chrono::milliseconds(100);

/// An attempt whose connection has gone silent.
constexpr outcome kLost{error_kind::kAnswerLost, execution_state::kUnknown};

}  // namespace

void outgoing_calls::OnArrived(event_context& context,
                               const call_arrived& arrived,
                               const calling_work* parent) {
  call& open = calls_[arrived.call];
  open.metadata = arrived.metadata;
  open.arrived = context.now();
  std::optional<error_kind> fault;
  if (arrived.target) {
    fault = ApplyRoute(*arrived.target, open.metadata);
  }
  const request_metadata& metadata = open.metadata;
  const row_settings& row =
      rows_.SettingsFor(metadata.service, metadata.request_class);
  open.parent = arrived.parent;
  // A second key does no harm.
  open.is_idempotent =
      row.is_idempotent || metadata.purpose == request_purpose::kIssueKey;
  open.deadline =
      context.now() + std::min(metadata.time_left, row.longest_deadline);
  if (parent != nullptr) {
    open.metadata.priority = parent->metadata.priority;
    open.metadata.is_repeat = parent->metadata.is_repeat;
    open.metadata.answered_siblings = parent->answered_calls;
    open.parent_class = parent->metadata.request_class;
    children_.emplace(*arrived.parent, arrived.call);
  } else if (!open.metadata.priority) {
    open.metadata.priority = row.priority;
  }
  open.allowance = AllowanceFor(arrived, row);
  if (options_.retries == retry_mode::kArrivals) {
    open.history.most_endpoints =
        static_cast<std::uint16_t>(row.retry_allowance + 1);
  }
  if (fault) {
    return Refuse(context, arrived.call, *fault,
                  TraitsOf(*fault).advice == retry_advice::kNever
                      ? duration::zero()
                      : kSoonRetryAfter);
  }
  const bool is_stop_known =
      stopping_since_ &&
      context.now() - *stopping_since_ >= options_.stop_grace;
  if (is_stop_known && !arrived.parent) {
    return Refuse(context, arrived.call, error_kind::kNodeStopping,
                  kSoonRetryAfter);
  }
  const bool is_known = arrived.target || rows_.has_service(metadata.service) ||
                        members_.has_service(metadata.service);
  if (!is_known) {
    return Refuse(context, arrived.call, error_kind::kUnknownService,
                  duration::zero());
  }
  if (metadata.time_left <= duration::zero()) {
    return Refuse(context, arrived.call, error_kind::kDeadlineExpired,
                  duration::zero());
  }
  context.timers().Schedule({timer_owner::kCalls, arrived.call.value()},
                            open.deadline);
  if (IsRefusedEarly(context, open)) {
    return Refuse(context, arrived.call, error_kind::kOverloaded,
                  RetryAfterFor(context, open, error_kind::kOverloaded));
  }
  retries_.OnFirstAttempt(context, metadata);
  context.Log(Describe(context, decision_kind::kCallRouted, open));
  Send(context, arrived.call, open);
}

std::optional<error_kind> outgoing_calls::ApplyRoute(
    const route_target& target,
    request_metadata& metadata) {
  if (!routes_.version()) {
    return error_kind::kNoRoutes;
  }
  const route* found = routes_.Match(target.host, target.path);
  if (found == nullptr) {
    return error_kind::kUnknownRoute;
  }
  metadata.service = routes_.NextService(*found);
  metadata.request_class = found->name;
  metadata.objective = found->objective;
  return std::nullopt;
}

// A resend and a call of an unknown parent get nothing: what their root
// request may spend was given out before. Where arrivals are counted, the row
// bounds how many endpoints see one call, and the tree has an allowance of its
// own.
std::uint16_t outgoing_calls::AllowanceFor(const call_arrived& arrived,
                                           const row_settings& row) {
  const bool counts_arrivals = options_.retries == retry_mode::kArrivals;
  const bool is_single = counts_arrivals && row.retry_allowance == 0;
  if (arrived.metadata.client_attempt > 1 || is_single) {
    return 0;
  }
  if (arrived.parent) {
    return allowance_.Grant(*arrived.parent);
  }
  if (arrived.has_parent) {
    return 0;
  }
  return counts_arrivals ? kMaxRetriesPerCallTree : row.retry_allowance;
}

bool outgoing_calls::IsRefusedEarly(event_context& context, const call& open) {
  if (!options_.refuses_early) {
    return false;
  }
  if (open.parent) {
    pressure_.OnDeepCall(context.now(), open.parent_class, CalledBy(open));
    // What ran for it would be lost: it may wait at the endpoint, while fewer
    // new requests are let in.
    if (!options_.refuses_running_early) {
      return false;
    }
  }
  const std::uint16_t level = pressure_.LevelFor(context.now(), CalledBy(open));
  const rank position =
      RankOf(open.metadata.priority.value_or(0), open.metadata.root);
  if (Passes(position, level)) {
    return false;
  }
  context.Count(counter::kRefusedEarly);
  return true;
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
  const auto found = attempts_.find(sent.attempt);
  if (found == attempts_.end()) {
    // Its call ended in this very event, by a timer.
    context.Emit(cancel_attempt{sent.attempt});
    return;
  }
  call& open = calls_.at(found->second);
  open.is_attempt_sent = true;
  connections_.OnSent(context, sent.attempt, sent.connection,
                      open.history.tried.back(), open.metadata.request_class);
}

void outgoing_calls::OnAttemptFinished(event_context& context,
                                       const attempt_finished& finished) {
  const auto sent = attempts_.find(finished.attempt);
  if (sent == attempts_.end()) {
    context.Count(counter::kLateAnswers);
    return;
  }
  const call_id id = sent->second;
  attempts_.erase(sent);
  call& open = calls_.at(id);
  open.attempt.reset();
  outcome result = finished.result;
  if (open.is_attempt_sent && !result.peer &&
      result.execution == execution_state::kNotExecuted) {
    // Bytes left this node and nobody says what became of them.
    result.execution = execution_state::kUnknown;
  }
  if (result.peer) {
    connections_.OnAnswered(context, finished.attempt);
  } else {
    connections_.OnGivenUp(finished.attempt);
  }
  router_.OnFinished(context, open.history.tried.back(), result,
                     context.now() - open.attempt_started);
  TakeBackAllowance(open, result);
  pressure_.OnAnswer(context.now(), CalledBy(open), open.history.tried.back(),
                     result);
  if (result.is_complete() && IsWorthAnother(context, open, result)) {
    context.Count(counter::kRetries);
    return Send(context, id, open);
  }
  if (result.is_complete()) {
    open.is_served = !result.is_failure;
    context.Log(Describe(context, decision_kind::kCallAnswered, open));
    context.Emit(relay_answer{id, finished.attempt, open.allowance});
    return Close(context, id);
  }
  decision_record failed =
      Describe(context, decision_kind::kAttemptFailed, open);
  failed.error = result.error;
  failed.execution = result.execution;
  failed.age = context.now() - open.attempt_started;
  context.Log(std::move(failed));
  if (MayHaveArrived(result)) {
    open.history.OnSeen();
  } else {
    ++open.unseen_attempts;
  }
  open.has_run = open.has_run || result.execution == execution_state::kExecuted;
  open.may_have_run =
      open.may_have_run || result.execution != execution_state::kNotExecuted;
  RetryOrRefuse(context, id, open, result);
}

void outgoing_calls::RetryOrRefuse(event_context& context,
                                   call_id id,
                                   call& open,
                                   const outcome& result) {
  if (TryRetry(context, open, result)) {
    context.Count(counter::kRetries);
    return Send(context, id, open);
  }
  Refuse(context, id, *result.error,
         RetryAfterFor(context, open, *result.error));
}

bool outgoing_calls::TryRetry(event_context& context,
                              call& open,
                              const outcome& result) {
  open.last_retry = retries_.Judge(context, open, result);
  const bool is_allowed = *open.last_retry == retry_verdict::kAllowed;
  if (is_allowed && retries_.TakesAllowance(result)) {
    --open.allowance;
  }
  return is_allowed;
}

// A failed run of idempotent work may succeed elsewhere. The failure itself is
// the answer if it may not be tried again.
bool outgoing_calls::IsWorthAnother(event_context& context,
                                    call& open,
                                    const outcome& result) {
  const bool is_own_failure =
      result.is_failure && result.peer && !result.peer->has_failed_child_call;
  const bool may_run_again = is_own_failure && open.is_idempotent &&
                             options_.retries == retry_mode::kArrivals &&
                             open.deadline > context.now();
  if (!may_run_again) {
    return false;
  }
  open.has_run = true;
  open.history.OnSeen();
  const outcome failed{error_kind::kAnswerLost, execution_state::kExecuted};
  return TryRetry(context, open, failed);
}

// What a lost answer carried stays spent, and no answer brings back more than
// its attempt carried. Where each service has a share of its own, that bounds
// what was spent below, and a lost answer costs one retry like any other.
void outgoing_calls::TakeBackAllowance(call& open,
                                       const outcome& result) const {
  const std::uint16_t unknown =
      options_.retries == retry_mode::kArrivals ? open.carried : 0;
  const std::uint16_t left =
      result.peer ? std::min(result.peer->allowance_left, open.carried)
                  : unknown;
  open.allowance = static_cast<std::uint16_t>(open.allowance + left);
  open.carried = 0;
}

void outgoing_calls::OnTimer(event_context& context, std::uint64_t key) {
  const call_id id(key);
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.attempt) {
    router_.OnUnanswered(context, found->second.history.tried.back());
    connections_.OnDeadline(context, *found->second.attempt);
  }
  Refuse(context, id, error_kind::kAnswerTimeout, duration::zero());
}

void outgoing_calls::OnConnectionTimer(event_context& context) {
  const auto may_abandon = [this, &context](attempt_id attempt) {
    const call& open = calls_.at(attempts_.at(attempt));
    return options_.retries != retry_mode::kArrivals ||
           (open.allowance + open.carried > 0 &&
            retry_policy::IsSafe(context.now(), open, kLost));
  };
  for (const attempt_id lost : connections_.OnTimer(context, may_abandon)) {
    OnAttemptLost(context, lost);
  }
}

// The endpoint answers others, so it is not blamed; whether the request
// reached it is not known.
void outgoing_calls::OnAttemptLost(event_context& context, attempt_id attempt) {
  const call_id id = attempts_.at(attempt);
  attempts_.erase(attempt);
  call& open = calls_.at(id);
  open.attempt.reset();
  open.may_have_run = true;
  open.history.OnSeen();
  TakeBackAllowance(open, kLost);
  router_.OnCancelled(context, open.history.tried.back());
  context.Emit(cancel_attempt{attempt});
  context.Log(Describe(context, decision_kind::kConnectionDropped, open));
  RetryOrRefuse(context, id, open, kLost);
}

void outgoing_calls::CutAll(event_context& context) {
  std::vector<call_id> open_calls;
  for (const auto& [id, open] : calls_) {
    open_calls.push_back(id);
  }
  for (const call_id id : open_calls) {
    Refuse(context, id, error_kind::kNodeStopping, kSoonRetryAfter);
  }
}

void outgoing_calls::CancelChildrenOf(event_context& context, work_id parent) {
  std::vector<call_id> children;
  const auto [first, last] = children_.equal_range(parent);
  for (auto child = first; child != last; ++child) {
    children.push_back(child->second);
  }
  for (const call_id id : children) {
    context.Count(counter::kCancelledDown);
    Refuse(context, id, error_kind::kCallerGone, duration::zero());
  }
}

void outgoing_calls::Send(event_context& context, call_id id, call& open) {
  const member_record* chosen = ChooseMember(context, id, open);
  if (chosen == nullptr) {
    return;
  }
  const attempt_id attempt(next_attempt_++);
  open.attempt = attempt;
  open.attempt_started = context.now();
  open.is_attempt_sent = false;
  open.history.tried.push_back(chosen->node);
  attempts_[attempt] = id;
  router_.OnSent(context, *chosen);
  request_metadata metadata = open.metadata;
  metadata.time_left = open.deadline - context.now();
  metadata.is_repeat = metadata.is_repeat || open.history.is_seen();
  // What travels with the attempt is spent until its answer brings it back.
  open.carried = std::exchange(open.allowance, std::uint16_t{0});
  metadata.allowance = open.carried;
  context.Count(counter::kAttempts);
  decision_record sent = Describe(context, decision_kind::kAttemptSent, open);
  sent.run = chosen->run;
  sent.candidates = static_cast<std::uint32_t>(router_.candidate_count());
  context.Log(std::move(sent));
  context.Emit(send_attempt{attempt, id, chosen->node, chosen->run,
                            chosen->address, std::move(metadata)});
}

const member_record* outgoing_calls::ChooseMember(event_context& context,
                                                  call_id id,
                                                  const call& open) {
  const bool has_key =
      open.metadata.key && open.metadata.purpose == request_purpose::kExecute;
  if (has_key) {
    const auto home = key_register::HomeOf(*open.metadata.key);
    if (home) {
      return ChooseHome(context, id, *home);
    }
    if (!open.is_idempotent) {
      Refuse(context, id, error_kind::kKeyNotIssued, duration::zero());
      return nullptr;
    }
  }
  const member_record* chosen =
      router_.Choose(context, open.metadata.service, open.history);
  if (chosen == nullptr) {
    Refuse(context, id, error_kind::kNoEndpoint, kSoonRetryAfter);
  }
  return chosen;
}

// A home that this node has not heard of may be new, so the caller comes back;
// one that was replaced or has left keeps its secret for good.
const member_record* outgoing_calls::ChooseHome(event_context& context,
                                                call_id id,
                                                const key_home& home) {
  const member_record* record = members_.Find(home.node);
  if (record == nullptr || record->run < home.run) {
    Refuse(context, id, error_kind::kNoEndpoint, kSoonRetryAfter);
    return nullptr;
  }
  if (record->run > home.run || record->state == member_state::kGone) {
    calls_.at(id).may_have_run = true;
    Refuse(context, id, error_kind::kKeyHomeGone, duration::zero());
    return nullptr;
  }
  return record;
}

void outgoing_calls::Refuse(event_context& context,
                            call_id id,
                            error_kind kind,
                            duration retry_after) {
  const call& open = calls_.at(id);
  const execution_state execution = KnowledgeOf(open);
  decision_record refused =
      Describe(context, decision_kind::kCallRefused, open);
  refused.error = kind;
  refused.execution = execution;
  refused.retry_after = retry_after;
  refused.level = pressure_.LevelFor(context.now(), CalledBy(open));
  refused.retry = open.last_retry;
  context.Log(std::move(refused));
  context.Emit(refuse_call{id, kind, execution, retry_after, open.allowance});
  Close(context, id);
}

execution_state outgoing_calls::KnowledgeOf(const call& open) {
  if (open.has_run) {
    return execution_state::kExecuted;
  }
  const bool may_have_run = open.may_have_run || open.attempt;
  return may_have_run ? execution_state::kUnknown
                      : execution_state::kNotExecuted;
}

void outgoing_calls::Close(event_context& context, call_id id) {
  const auto found = calls_.find(id);
  const call& open = found->second;
  if (open.attempt) {
    attempts_.erase(*open.attempt);
    connections_.OnGivenUp(*open.attempt);
    router_.OnCancelled(context, open.history.tried.back());
    context.Emit(cancel_attempt{*open.attempt});
  }
  if (open.parent) {
    allowance_.Return(*open.parent, open.allowance);
    const auto [first, last] = children_.equal_range(*open.parent);
    children_.erase(std::find_if(
        first, last, [id](const auto& child) { return child.second == id; }));
    ended_children_.push_back({*open.parent, !open.is_served});
  }
  context.timers().Cancel({timer_owner::kCalls, id.value()});
  calls_.erase(found);
}

std::vector<ended_child> outgoing_calls::TakeEndedChildren() {
  return std::exchange(ended_children_, {});
}

decision_record outgoing_calls::Describe(event_context& context,
                                         decision_kind kind,
                                         const call& open) const {
  decision_record record{.kind = kind,
                         .request = open.metadata.own_id,
                         .root = open.metadata.root,
                         .service = open.metadata.service,
                         .request_class = open.metadata.request_class};
  if (!open.history.tried.empty()) {
    record.node = open.history.tried.back();
  }
  if (routes_.version()) {
    record.routes = routes_.version();
  }
  record.time_left = open.deadline - context.now();
  record.waited = context.now() - open.arrived;
  record.attempt = static_cast<std::uint32_t>(open.history.tried.size());
  record.priority = open.metadata.priority;
  return record;
}

duration outgoing_calls::RetryAfterFor(event_context& context,
                                       const call& open,
                                       error_kind kind) const {
  switch (TraitsOf(kind).advice) {
    case retry_advice::kNever:
      return duration::zero();
    case retry_advice::kAfterFixedDelay:
      return kSoonRetryAfter;
    case retry_advice::kAfterPressureDelay:
      return pressure_.RetryAfter(context, CalledBy(open));
  }
  return duration::zero();
}

}  // namespace auburnfold
