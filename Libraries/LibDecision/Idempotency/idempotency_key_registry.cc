#include "LibDecision/Idempotency/idempotency_key_registry.h"

#include <algorithm>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

/// Estimated size of the status and headers of a cached answer.
constexpr std::uint64_t kAnswerOverheadBytes = 512;
/// Minimum time between two timers that remove expired keys.
constexpr duration kMinExpiryInterval = std::chrono::seconds(1);

std::uint64_t FingerprintOf(const request_facts& facts) {
  const std::uint64_t service = StableHash(facts.service.value());
  const std::uint64_t with_class =
      StableHash(facts.request_class.value(), service);
  return StableHash(facts.tenant.value(), with_class);
}

}  // namespace

void idempotency_key_registry::Start(node_id node, incarnation run) {
  self_ = {node, run};
}

std::optional<idempotency_key> idempotency_key_registry::Issue(
    step& now,
    const request_facts& facts) {
  ExpireKeys(now);
  if (IsFull()) {
    return std::nullopt;
  }
  key_entry& added = entries_.emplace_back();
  added.nonce = now.Random();
  added.issued = now.now();
  added.request_fingerprint = FingerprintOf(facts);
  ScheduleExpiry(now);
  now.Count(counter::kKeysIssued);
  const std::uint64_t serial = first_serial_ + entries_.size() - 1;
  return Format({self_, serial, added.nonce});
}

std::optional<key_home> idempotency_key_registry::HomeOf(
    const idempotency_key& key) {
  const std::optional<issued_key> parsed = ParseKey(key);
  if (!parsed) {
    return std::nullopt;
  }
  return parsed->home;
}

key_decision idempotency_key_registry::OnWork(step& now,
                                              const request_facts& facts,
                                              work_id work) {
  ExpireKeys(now);
  const std::optional<issued_key> key = ParseKey(*facts.key);
  key_decision refusal_decision{key_action::kRefuse, error_kind::kKeyNotIssued,
                                run_state::kNotRun};
  if (key && key->home != self_) {
    // Only the home of the key knows whether an earlier attempt was executed.
    refusal_decision = {key_action::kRefuse, error_kind::kKeyHomeGone,
                        run_state::kUnknown};
  } else if (key && key->serial < first_serial_) {
    refusal_decision = {key_action::kRefuse, error_kind::kKeyExpired,
                        run_state::kUnknown};
  } else if (key) {
    key_entry* const found = Find(*facts.key);
    if (found != nullptr &&
        found->request_fingerprint == FingerprintOf(facts)) {
      return DecideForKnownKey(now, *found, work);
    }
    // Another process that ran under the same incarnation may have issued it.
    refusal_decision.ran = run_state::kUnknown;
  }
  now.Count(counter::kKeysRefused);
  return refusal_decision;
}

key_decision idempotency_key_registry::DecideForKnownKey(step& now,
                                                         key_entry& found,
                                                         work_id work) {
  switch (found.state) {
    case key_state::kUnused:
      if (answer_bytes_ >= limits_.answer_bytes) {
        now.Count(counter::kKeysRefused);
        return {key_action::kRefuse, error_kind::kKeyMemoryFull,
                run_state::kNotRun};
      }
      found.state = key_state::kInProgress;
      found.work = work;
      return {key_action::kExecute};
    case key_state::kInProgress:
      now.Count(counter::kKeysRefused);
      return {key_action::kRefuse, error_kind::kKeyInProgress,
              run_state::kUnknown};
    case key_state::kCached:
      now.Count(counter::kKeysReplayed);
      return {key_action::kReplay};
    case key_state::kNotReplayable:
      now.Count(counter::kKeysRefused);
      return {key_action::kRefuse, found.final_error, found.ran};
  }
  return {key_action::kRefuse};
}

void idempotency_key_registry::OnNotExecuted(const idempotency_key& key,
                                             work_id work) {
  key_entry* const found = Find(key);
  if (found == nullptr || found->state != key_state::kInProgress ||
      found->work != work) {
    return;
  }
  found->state = key_state::kUnused;
}

void idempotency_key_registry::OnFinished(step& now,
                                          const idempotency_key& key,
                                          work_id work,
                                          const outcome& result) {
  key_entry* const found = Find(key);
  if (found == nullptr || found->state != key_state::kInProgress ||
      found->work != work) {
    return;
  }
  const std::uint64_t size = result.body_size + kAnswerOverheadBytes;
  found->ran = result.ran;
  if (result.is_whole() && answer_bytes_ + size <= limits_.answer_bytes) {
    found->state = key_state::kCached;
    found->answer_bytes = static_cast<std::uint32_t>(size);
    answer_bytes_ += size;
    now.Emit(remember_answer{key, work});
    return;
  }
  found->state = key_state::kNotReplayable;
  found->final_error = result.error.value_or(error_kind::kAnswerLost);
}

void idempotency_key_registry::OnTimer(step& now) {
  is_expiry_scheduled_ = false;
  ExpireKeys(now);
  ScheduleExpiry(now);
}

idempotency_key_registry::key_entry* idempotency_key_registry::Find(
    const idempotency_key& text) {
  const std::optional<issued_key> key = ParseKey(text);
  if (!key || key->home != self_ || key->serial < first_serial_) {
    return nullptr;
  }
  const std::uint64_t position = key->serial - first_serial_;
  if (position >= entries_.size() || entries_[position].nonce != key->nonce) {
    return nullptr;
  }
  return &entries_[position];
}

bool idempotency_key_registry::IsFull() const {
  return entries_.size() >= limits_.keys ||
         answer_bytes_ >= limits_.answer_bytes;
}

// Keys expire in the order in which they were issued, so comparing a serial
// with `first_serial_` recognizes any expired key without keeping a record of
// it.
void idempotency_key_registry::ExpireKeys(step& now) {
  while (!entries_.empty() &&
         entries_.front().issued + kKeyLifetime <= now.now()) {
    const key_entry& oldest = entries_.front();
    if (oldest.state == key_state::kCached) {
      answer_bytes_ -= oldest.answer_bytes;
      now.Emit(forget_answer{Format({self_, first_serial_, oldest.nonce})});
    }
    if (oldest.state != key_state::kUnused) {
      now.Count(counter::kKeysForgotten);
    }
    entries_.pop_front();
    ++first_serial_;
  }
}

void idempotency_key_registry::ScheduleExpiry(step& now) {
  if (entries_.empty() || is_expiry_scheduled_) {
    return;
  }
  is_expiry_scheduled_ = true;
  const instant due = std::max(entries_.front().issued + kKeyLifetime,
                               now.now() + kMinExpiryInterval);
  now.timers().Subscribe({timer_owner::kOnce}, due);
}

}  // namespace auburnfold
