#include "LibDecision/Idempotency/idempotency_key_registry.h"

#include <algorithm>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

/// Estimated size of the status and headers of a cached answer, in bytes.
constexpr std::uint64_t kAnswerOverheadBytes = 512;
/// Minimum time between two timers that remove expired keys.
constexpr duration kMinExpiryInterval = std::chrono::seconds(1);

std::uint64_t FingerprintOf(const request_metadata& metadata) {
  const std::uint64_t service = StableHash(metadata.service.value());
  const std::uint64_t with_class =
      StableHash(metadata.request_class.value(), service);
  return StableHash(metadata.tenant.value(), with_class);
}

}  // namespace

void idempotency_key_registry::Start(node_id node, incarnation run) {
  self_ = {node, run};
}

std::optional<idempotency_key> idempotency_key_registry::Issue(
    event_context& context,
    const request_metadata& metadata) {
  ExpireKeys(context);
  if (IsFull()) {
    return std::nullopt;
  }
  key_entry& added = entries_.emplace_back();
  added.nonce = context.Random();
  added.issued = context.now();
  added.request_fingerprint = FingerprintOf(metadata);
  ScheduleExpiry(context);
  context.Count(counter::kKeysIssued);
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

key_decision idempotency_key_registry::OnWork(event_context& context,
                                              const request_metadata& metadata,
                                              work_id work) {
  ExpireKeys(context);
  const std::optional<issued_key> key = ParseKey(*metadata.key);
  key_decision refusal_decision{key_action::kRefuse, error_kind::kKeyNotIssued,
                                execution_state::kNotExecuted};
  if (key && key->home != self_) {
    // Only the home of the key knows whether an earlier attempt was executed.
    refusal_decision = {key_action::kRefuse, error_kind::kKeyHomeGone,
                        execution_state::kUnknown};
  } else if (key && key->serial < first_serial_) {
    refusal_decision = {key_action::kRefuse, error_kind::kKeyExpired,
                        execution_state::kUnknown};
  } else if (key) {
    key_entry* const found = Find(*metadata.key);
    if (found != nullptr &&
        found->request_fingerprint == FingerprintOf(metadata)) {
      return DecideForKnownKey(context, *found, work);
    }
    // Another process that ran under the same incarnation may have issued it.
    refusal_decision.execution = execution_state::kUnknown;
  }
  context.Count(counter::kKeysRefused);
  return refusal_decision;
}

key_decision idempotency_key_registry::DecideForKnownKey(event_context& context,
                                                         key_entry& found,
                                                         work_id work) {
  switch (found.state) {
    case key_state::kUnused:
      if (answer_bytes_ >= limits_.answer_bytes) {
        context.Count(counter::kKeysRefused);
        return {key_action::kRefuse, error_kind::kKeyMemoryFull,
                execution_state::kNotExecuted};
      }
      found.state = key_state::kInProgress;
      found.work = work;
      return {key_action::kExecute};
    case key_state::kInProgress:
      context.Count(counter::kKeysRefused);
      return {key_action::kRefuse, error_kind::kKeyInProgress,
              execution_state::kUnknown};
    case key_state::kCached:
      context.Count(counter::kKeysReplayed);
      return {key_action::kReplay};
    case key_state::kNotReplayable:
      context.Count(counter::kKeysRefused);
      return {key_action::kRefuse, found.final_error, found.execution};
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

void idempotency_key_registry::OnFinished(event_context& context,
                                          const idempotency_key& key,
                                          work_id work,
                                          const outcome& result) {
  key_entry* const found = Find(key);
  if (found == nullptr || found->state != key_state::kInProgress ||
      found->work != work) {
    return;
  }
  const std::uint64_t size = result.body_size + kAnswerOverheadBytes;
  found->execution = result.execution;
  if (result.is_complete() && answer_bytes_ + size <= limits_.answer_bytes) {
    found->state = key_state::kCached;
    found->answer_bytes = static_cast<std::uint32_t>(size);
    answer_bytes_ += size;
    context.Emit(cache_answer{key, work});
    return;
  }
  found->state = key_state::kNotReplayable;
  found->final_error = result.error.value_or(error_kind::kAnswerLost);
}

void idempotency_key_registry::OnTimer(event_context& context) {
  is_expiry_scheduled_ = false;
  ExpireKeys(context);
  ScheduleExpiry(context);
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
void idempotency_key_registry::ExpireKeys(event_context& context) {
  while (!entries_.empty() &&
         entries_.front().issued + kKeyLifetime <= context.now()) {
    const key_entry& oldest = entries_.front();
    if (oldest.state == key_state::kCached) {
      answer_bytes_ -= oldest.answer_bytes;
      context.Emit(evict_answer{Format({self_, first_serial_, oldest.nonce})});
    }
    if (oldest.state != key_state::kUnused) {
      context.Count(counter::kKeysForgotten);
    }
    entries_.pop_front();
    ++first_serial_;
  }
}

void idempotency_key_registry::ScheduleExpiry(event_context& context) {
  if (entries_.empty() || is_expiry_scheduled_) {
    return;
  }
  is_expiry_scheduled_ = true;
  const instant due = std::max(entries_.front().issued + kKeyLifetime,
                               context.now() + kMinExpiryInterval);
  context.timers().Schedule({timer_owner::kIdempotencyKeys}, due);
}

}  // namespace auburnfold
