#include "LibDecision/Calls/outgoing_calls.h"

#include <algorithm>
#include <utility>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/Works/own_endpoint.h"

namespace auburnfold {

namespace {

constexpr duration kSoonRetryAfter = std::chrono::milliseconds(100);

// Of the three-tries baseline.
constexpr std::size_t kMostTries = 3;

bool IsOverload(error_kind kind) {
  return kind == error_kind::kOverloaded ||
         kind == error_kind::kQueueDeadline ||
         kind == error_kind::kTenantOverShare;
}

}  // namespace

void outgoing_calls::OnArrived(step& now,
                               const call_arrived& arrived,
                               const request_facts* parent) {
  const request_facts& facts = arrived.facts;
  const row_settings& row =
      rows_.SettingsFor(facts.service, facts.request_class);
  call& open = calls_[arrived.call];
  open.facts = facts;
  open.parent = arrived.parent;
  // A second key does no harm.
  open.is_idempotent =
      row.is_idempotent || facts.purpose == request_purpose::kIssueKey;
  open.deadline = now.now() + std::min(facts.time_left, row.longest_deadline);
  if (parent != nullptr) {
    open.facts.priority = parent->priority;
    open.parent_class = parent->request_class;
    children_.emplace(*arrived.parent, arrived.call);
  } else if (!open.facts.priority) {
    open.facts.priority = row.priority;
  }
  open.allowance = AllowanceFor(arrived, row);
  const bool is_stop_known =
      stopping_since_ && now.now() - *stopping_since_ >= kLeavingGrace;
  if (is_stop_known && !arrived.parent) {
    return Refuse(now, arrived.call, error_kind::kNodeStopping,
                  kSoonRetryAfter);
  }
  if (!rows_.has_service(facts.service) &&
      !members_.has_service(facts.service)) {
    return Refuse(now, arrived.call, error_kind::kUnknownService,
                  duration::zero());
  }
  if (facts.time_left <= duration::zero()) {
    return Refuse(now, arrived.call, error_kind::kDeadlineExpired,
                  duration::zero());
  }
  now.timers().Subscribe({timer_owner::kCalls, arrived.call.value()},
                         open.deadline);
  if (IsRefusedEarly(now, open)) {
    return Refuse(now, arrived.call, error_kind::kOverloaded,
                  RetryAfterFor(now, open, error_kind::kOverloaded));
  }
  retry_share_.OnFirstAttempt();
  Send(now, arrived.call, open);
}

// A resend and a call of an unknown parent get nothing: what their root
// request may spend was given out before.
std::uint16_t outgoing_calls::AllowanceFor(const call_arrived& arrived,
                                           const row_settings& row) {
  if (arrived.facts.client_attempt > 1) {
    return 0;
  }
  if (arrived.parent) {
    return allowance_.Grant(*arrived.parent);
  }
  return arrived.has_parent ? 0 : row.retry_allowance;
}

service_class outgoing_calls::CalledBy(const call& open) {
  return {open.facts.service, open.facts.request_class};
}

bool outgoing_calls::IsRefusedEarly(step& now, const call& open) {
  if (!options_.refuses_early) {
    return false;
  }
  if (open.parent) {
    pressure_.OnDeepCall(now.now(), open.parent_class, CalledBy(open));
  }
  const std::uint16_t level = pressure_.LevelFor(now.now(), CalledBy(open));
  const rank position =
      RankOf(open.facts.priority.value_or(0), open.facts.root);
  if (Passes(position, level)) {
    return false;
  }
  now.Count(counter::kRefusedEarly);
  return true;
}

void outgoing_calls::OnCancelled(step& now, call_id id) {
  if (calls_.contains(id)) {
    Close(now, id);
  }
}

void outgoing_calls::OnSent(step& now, const attempt_sent& sent) {
  const auto found = attempts_.find(sent.attempt);
  if (found == attempts_.end()) {
    // Its call ended in this very event, by a timer.
    now.Emit(cancel_attempt{sent.attempt});
    return;
  }
  call& open = calls_.at(found->second);
  open.is_attempt_sent = true;
  connections_.OnSent(now, sent.attempt, sent.connection, open.tried.back(),
                      open.facts.request_class);
}

void outgoing_calls::OnAttemptFinished(step& now,
                                       const attempt_finished& finished) {
  const auto sent = attempts_.find(finished.attempt);
  if (sent == attempts_.end()) {
    now.Count(counter::kLateAnswers);
    return;
  }
  const call_id id = sent->second;
  attempts_.erase(sent);
  call& open = calls_.at(id);
  open.attempt.reset();
  outcome result = finished.result;
  if (open.is_attempt_sent && !result.peer &&
      result.ran == run_state::kNotRun) {
    // Bytes left this node and nobody says what became of them.
    result.ran = run_state::kUnknown;
  }
  if (result.peer) {
    connections_.OnAnswered(now, finished.attempt);
  } else {
    connections_.OnGivenUp(finished.attempt);
  }
  router_.OnFinished(now, open.tried.back(), result,
                     now.now() - open.attempt_started);
  TakeBackAllowance(open, result);
  pressure_.OnAnswer(now.now(), CalledBy(open), open.tried.back(), result);
  if (result.is_whole()) {
    now.Emit(relay_answer{id, finished.attempt, open.allowance});
    return Close(now, id);
  }
  open.has_run = open.has_run || result.ran == run_state::kRan;
  open.may_have_run = open.may_have_run || result.ran != run_state::kNotRun;
  RetryOrRefuse(now, id, open, result);
}

void outgoing_calls::RetryOrRefuse(step& now,
                                   call_id id,
                                   call& open,
                                   const outcome& result) {
  if (MayRetry(now, open, result) && HasRetryLeft(now, open, result)) {
    now.Count(counter::kRetries);
    return Send(now, id, open);
  }
  Refuse(now, id, *result.error, RetryAfterFor(now, open, *result.error));
}

// What a lost answer carried stays spent, and no answer brings back more than
// its attempt carried.
void outgoing_calls::TakeBackAllowance(call& open,
                                       const outcome& result) const {
  if (result.peer) {
    const std::uint16_t left =
        std::min(result.peer->allowance_left, open.carried);
    open.allowance = static_cast<std::uint16_t>(open.allowance + left);
  }
  open.carried = 0;
}

void outgoing_calls::OnTimer(step& now, std::uint64_t key) {
  const call_id id(key);
  const auto found = calls_.find(id);
  if (found == calls_.end()) {
    return;
  }
  if (found->second.attempt) {
    router_.OnUnanswered(now, found->second.tried.back());
    connections_.OnDeadline(now, *found->second.attempt);
  }
  Refuse(now, id, error_kind::kAnswerTimeout, duration::zero());
}

void outgoing_calls::OnConnectionTimer(step& now) {
  for (const attempt_id lost : connections_.OnTimer(now)) {
    OnAttemptLost(now, lost);
  }
}

// The endpoint answers others, so it is not blamed; whether the request
// reached it is not known.
void outgoing_calls::OnAttemptLost(step& now, attempt_id attempt) {
  const call_id id = attempts_.at(attempt);
  attempts_.erase(attempt);
  call& open = calls_.at(id);
  open.attempt.reset();
  open.may_have_run = true;
  open.carried = 0;
  router_.OnCancelled(now, open.tried.back());
  now.Emit(cancel_attempt{attempt});
  RetryOrRefuse(now, id, open, {error_kind::kAnswerLost, run_state::kUnknown});
}

void outgoing_calls::CutAll(step& now) {
  std::vector<call_id> open_calls;
  for (const auto& [id, open] : calls_) {
    open_calls.push_back(id);
  }
  for (const call_id id : open_calls) {
    Refuse(now, id, error_kind::kNodeStopping, kSoonRetryAfter);
  }
}

void outgoing_calls::CancelChildrenOf(step& now, work_id parent) {
  std::vector<call_id> children;
  const auto [first, last] = children_.equal_range(parent);
  for (auto child = first; child != last; ++child) {
    children.push_back(child->second);
  }
  for (const call_id id : children) {
    now.Count(counter::kCancelledDown);
    Refuse(now, id, error_kind::kCallerGone, duration::zero());
  }
}

void outgoing_calls::Send(step& now, call_id id, call& open) {
  const member_record* chosen = ChooseMember(now, id, open);
  if (chosen == nullptr) {
    return;
  }
  const attempt_id attempt(next_attempt_++);
  open.attempt = attempt;
  open.attempt_started = now.now();
  open.is_attempt_sent = false;
  open.tried.push_back(chosen->node);
  attempts_[attempt] = id;
  router_.OnSent(now, chosen->node);
  request_facts facts = open.facts;
  facts.time_left = open.deadline - now.now();
  // What travels with the attempt is spent until its answer brings it back.
  open.carried = std::exchange(open.allowance, std::uint16_t{0});
  facts.allowance = open.carried;
  now.Count(counter::kAttempts);
  now.Emit(send_attempt{attempt, id, chosen->node, chosen->run, chosen->address,
                        std::move(facts)});
}

const member_record* outgoing_calls::ChooseMember(step& now,
                                                  call_id id,
                                                  const call& open) {
  const bool has_key =
      open.facts.key && open.facts.purpose == request_purpose::kRun;
  if (has_key) {
    const auto home = key_register::HomeOf(*open.facts.key);
    if (home) {
      return ChooseHome(now, id, *home);
    }
    if (!open.is_idempotent) {
      Refuse(now, id, error_kind::kKeyNotIssued, duration::zero());
      return nullptr;
    }
  }
  const member_record* chosen =
      router_.Choose(now, open.facts.service, open.tried);
  if (chosen == nullptr) {
    Refuse(now, id, error_kind::kNoEndpoint, kSoonRetryAfter);
  }
  return chosen;
}

// A home that this node has not heard of may be new, so the caller comes back;
// one that was replaced or has left keeps its secret for good.
const member_record* outgoing_calls::ChooseHome(step& now,
                                                call_id id,
                                                const key_home& home) {
  const member_record* record = members_.Find(home.node);
  if (record == nullptr || record->run < home.run) {
    Refuse(now, id, error_kind::kNoEndpoint, kSoonRetryAfter);
    return nullptr;
  }
  if (record->run > home.run || record->state == member_state::kGone) {
    calls_.at(id).may_have_run = true;
    Refuse(now, id, error_kind::kKeyHomeGone, duration::zero());
    return nullptr;
  }
  return record;
}

void outgoing_calls::Refuse(step& now,
                            call_id id,
                            error_kind kind,
                            duration retry_after) {
  const call& open = calls_.at(id);
  const run_state ran = KnowledgeOf(open);
  now.Emit(refuse_call{id, kind, ran, retry_after, open.allowance});
  Close(now, id);
}

run_state outgoing_calls::KnowledgeOf(const call& open) {
  if (open.has_run) {
    return run_state::kRan;
  }
  const bool may_have_run = open.may_have_run || open.attempt;
  return may_have_run ? run_state::kUnknown : run_state::kNotRun;
}

void outgoing_calls::Close(step& now, call_id id) {
  const auto found = calls_.find(id);
  const call& open = found->second;
  if (open.attempt) {
    attempts_.erase(*open.attempt);
    connections_.OnGivenUp(*open.attempt);
    router_.OnCancelled(now, open.tried.back());
    now.Emit(cancel_attempt{*open.attempt});
  }
  if (open.parent) {
    allowance_.Return(*open.parent, open.allowance);
    const auto [first, last] = children_.equal_range(*open.parent);
    children_.erase(std::find_if(
        first, last, [id](const auto& child) { return child.second == id; }));
    ended_children_.push_back(*open.parent);
  }
  now.timers().Cancel({timer_owner::kCalls, id.value()});
  calls_.erase(found);
}

std::vector<work_id> outgoing_calls::TakeEndedChildren() {
  return std::exchange(ended_children_, {});
}

bool outgoing_calls::MayRetry(step& now,
                              const call& open,
                              const outcome& result) {
  if (open.deadline <= now.now()) {
    return false;
  }
  const bool is_bound_to_home =
      open.facts.key && key_register::HomeOf(*open.facts.key);
  if (is_bound_to_home) {
    // The home runs the work once, however often it is sent; if the home
    // itself answered, it has nothing better to say.
    return !result.peer;
  }
  const bool is_not_run = result.ran == run_state::kNotRun;
  const bool is_safe = is_not_run || open.is_idempotent;
  return is_safe && (AnswerFor(*result.error).is_retryable || !is_not_run);
}

bool outgoing_calls::HasRetryLeft(step& now,
                                  call& open,
                                  const outcome& result) {
  switch (options_.retries) {
    case retry_choice::kThreeTries:
      return open.tried.size() < kMostTries;
    case retry_choice::kAllowance:
      break;
  }
  if (open.allowance == 0) {
    now.Count(counter::kRetriesDeniedByAllowance);
    return false;
  }
  const bool is_refusing_as_whole =
      IsOverload(*result.error) &&
      pressure_.RefusesAsWhole(now.now(), CalledBy(open));
  if (is_refusing_as_whole) {
    now.Count(counter::kRetriesDeniedByPressure);
    return false;
  }
  if (!retry_share_.TryTake()) {
    now.Count(counter::kRetriesDeniedByNodeShare);
    return false;
  }
  --open.allowance;
  return true;
}

duration outgoing_calls::RetryAfterFor(step& now,
                                       const call& open,
                                       error_kind kind) const {
  switch (AnswerFor(kind).when) {
    case come_back::kNever:
      return duration::zero();
    case come_back::kSoon:
      return kSoonRetryAfter;
    case come_back::kAfterPressure:
      return pressure_.RetryAfter(now, CalledBy(open));
  }
  return duration::zero();
}

}  // namespace auburnfold
