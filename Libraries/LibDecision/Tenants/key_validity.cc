#include "LibDecision/Tenants/key_validity.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "LibDecision/Store/backoff.h"

namespace auburnfold {

namespace {

// Clocks of different machines run at slightly different rates.
constexpr int kClockMarginDivisor = 100;
// A node reads the routes when the last confirmation is between a sixth and a
// third of the validity old. If the key-value store fails then, two thirds are
// left until requests are refused.
constexpr int kMinReadAgeDivisor = 6;
constexpr int kMaxReadAgeDivisor = 3;
constexpr backoff_policy kRetryBackoff{std::chrono::milliseconds(200),
                                       std::chrono::milliseconds(800), 2};

// Without a record that proves the routes, a node with newer ones has this time
// to object. Nodes that are alive write their records again within two seconds
// after the store has come back.
constexpr duration kObjectionTime = std::chrono::seconds(3);

}  // namespace

key_validity::key_validity(duration validity, std::string route_key)
    : validity_(validity - validity / kClockMarginDivisor),
      route_key_(std::move(route_key)) {}

bool key_validity::IsValid(event_context& context) {
  if (validity_ <= duration::zero()) {
    return true;
  }
  const bool is_valid =
      confirmed_at_ && context.elapsed_now() - *confirmed_at_ < validity_;
  SetLost(context, !is_valid);
  const bool may_read = !read_call_ && failures_ == 0 && !IsAwaitingProof();
  if (!is_valid && may_read) {
    Read(context);
  }
  return is_valid;
}

std::optional<duration> key_validity::ConfirmedBefore(instant when) const {
  return is_active_ && confirmed_at_ ? std::optional(when - *confirmed_at_)
                                     : std::nullopt;
}

// The last confirmation holds for the new routes too: they were written after
// it, and any that replace them were written later still.
void key_validity::OnRoutesTaken(event_context& context, bool has_tenants) {
  routes_taken_at_ = context.elapsed_now();
  is_active_ = has_tenants && validity_ > duration::zero();
  if (!is_active_) {
    return context.timers().Cancel({timer_owner::kKeyValidity});
  }
  ScheduleRead(context);
}

// A store that has come back from an older copy shows routes that were replaced
// before. A node that has just started cannot tell.
void key_validity::OnConfirmed(event_context& context, instant when) {
  if (is_proven_) {
    return Confirm(context, when);
  }
  if (!first_unproven_read_at_) {
    first_unproven_read_at_ = context.elapsed_now();
  }
  last_unproven_read_at_ = std::max(last_unproven_read_at_, when);
  ScheduleRead(context);
}

void key_validity::Prove(event_context& context,
                         std::optional<route_version> newest,
                         std::optional<route_version> in_force) {
  newest_recorded_ = std::max(newest_recorded_, newest);
  if (!needs_proof() || !in_force || in_force < newest_recorded_) {
    return;
  }
  const bool had_time =
      first_unproven_read_at_ &&
      context.elapsed_now() - *first_unproven_read_at_ >= kObjectionTime;
  if (newest_recorded_ || had_time) {
    SetProven(context);
  }
}

void key_validity::SetProven(event_context& context) {
  is_proven_ = true;
  if (std::exchange(first_unproven_read_at_, std::nullopt)) {
    Confirm(context, last_unproven_read_at_);
  }
}

// A node whose confirmation is old may have missed routes that the store has
// lost since.
void key_validity::OnStoreEraChanged(event_context& context) {
  const bool is_recent =
      confirmed_at_ && context.elapsed_now() - *confirmed_at_ < validity_;
  is_proven_ = is_proven_ && is_recent;
  first_unproven_read_at_.reset();
  newest_recorded_.reset();
}

void key_validity::Confirm(event_context& context, instant when) {
  if (confirmed_at_ && when <= *confirmed_at_) {
    return;
  }
  confirmed_at_ = when;
  if (is_active_ && context.elapsed_now() - when < validity_) {
    SetLost(context, false);
  }
  // Answers of several nodes may follow the same read of the routes.
  const bool is_new_read =
      !read_age_chosen_for_ ||
      when - *read_age_chosen_for_ >= validity_ / (2 * kMinReadAgeDivisor);
  if (is_new_read) {
    read_age_chosen_for_ = when;
    read_age_ = ChooseReadAge(context);
    ScheduleRead(context);
  }
}

// The time between sending and answering is at least that between the arrival
// of the attempt and the answer, so a transfer never makes a confirmation look
// newer than it is.
void key_validity::OnPeerConfirmed(event_context& context,
                                   instant sent_at,
                                   duration age) {
  const bool concerns_routes_in_force = sent_at > routes_taken_at_;
  if (is_active_ && concerns_routes_in_force) {
    SetProven(context);
    Confirm(context, std::min(sent_at - age, context.elapsed_now()));
  }
}

void key_validity::OnStoreAnswered(event_context& context,
                                   const store_answered& answer,
                                   const std::string& value_in_force) {
  if (!read_call_ || answer.call != *read_call_) {
    return;
  }
  read_call_.reset();
  const store_result& result = answer.result;
  const bool has_value =
      result.status == store_status::kDone && result.entries.size() == 1;
  if (has_value && result.entries.front().value == value_in_force) {
    failures_ = 0;
    OnConfirmed(context, read_sent_at_);
    return ScheduleRead(context);
  }
  if (has_value) {
    const store_entry& entry = result.entries.front();
    context.Emit(decode_routes{entry.value,
                               {.source = route_source::kListing,
                                .revision = entry.revision,
                                .era = result.era,
                                .read_at = context.now(),
                                .requested_at = read_sent_at_}});
  } else {
    context.Count(counter::kStoreFailures);
  }
  ++failures_;
  ScheduleRetry(context);
}

// A watch that fails repeats its listing until the key-value store answers, and
// the listing confirms the routes.
void key_validity::OnTimer(event_context& context, bool is_watch_failing) {
  if (!is_active_ || read_call_) {
    return;
  }
  if (IsAwaitingProof()) {
    return ScheduleRetry(context);
  }
  const bool is_young =
      confirmed_at_ && context.elapsed_now() - *confirmed_at_ < read_age_;
  if (is_young) {
    failures_ = 0;
    return ScheduleRead(context);
  }
  if (is_watch_failing) {
    return ScheduleRetry(context);
  }
  Read(context);
}

void key_validity::Read(event_context& context) {
  read_call_ = call_ids_.Next();
  read_sent_at_ = context.elapsed_now();
  context.Count(counter::kStoreCalls);
  context.Count(counter::kKeyConfirmations);
  context.Emit(call_store{*read_call_, store_get{route_key_}});
}

void key_validity::ScheduleRead(event_context& context) {
  if (!is_active_ || read_call_) {
    return;
  }
  if (IsAwaitingProof()) {
    return context.timers().Schedule({timer_owner::kKeyValidity},
                                     context.now() + kObjectionTime);
  }
  const duration age =
      confirmed_at_ ? context.elapsed_now() - *confirmed_at_ : read_age_;
  context.timers().Schedule(
      {timer_owner::kKeyValidity},
      context.now() + std::max(read_age_ - age, duration::zero()));
}

void key_validity::ScheduleRetry(event_context& context) {
  context.timers().Schedule(
      {timer_owner::kKeyValidity},
      context.now() + BackoffDelay(context, kRetryBackoff, failures_));
}

// The logarithm makes it likely that only a few of all nodes choose a small
// value, whatever their number: the others learn of their reads in time.
duration key_validity::ChooseReadAge(event_context& context) const {
  const duration shortest = validity_ / kMinReadAgeDivisor;
  const duration longest = validity_ / kMaxReadAgeDivisor;
  const double node_count =
      static_cast<double>(std::max<std::size_t>(node_count_, 2));
  const double part =
      1 + std::log(context.RandomFraction()) / std::log(node_count);
  return shortest + std::chrono::duration_cast<duration>((longest - shortest) *
                                                         std::max(part, 0.0));
}

void key_validity::SetLost(event_context& context, bool is_lost) {
  if (is_lost == is_lost_) {
    return;
  }
  is_lost_ = is_lost;
  decision_record record{.kind = is_lost ? decision_kind::kKeysOutdated
                                         : decision_kind::kKeysConfirmed};
  if (confirmed_at_) {
    record.age = context.elapsed_now() - *confirmed_at_;
  }
  context.Log(std::move(record));
}

}  // namespace auburnfold
