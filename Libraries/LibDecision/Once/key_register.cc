#include "LibDecision/Once/key_register.h"

#include <algorithm>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

/// Room for status and headers of a remembered answer.
constexpr std::uint64_t kAnswerOverheadBytes = 512;
/// Shortest time between two rounds of forgetting.
constexpr duration kForgetInterval = std::chrono::seconds(1);

std::uint64_t HashOf(const request_metadata& metadata) {
  const std::uint64_t service = StableHash(metadata.service.value());
  const std::uint64_t with_class =
      StableHash(metadata.request_class.value(), service);
  return StableHash(metadata.tenant.value(), with_class);
}

}  // namespace

void key_register::Start(node_id node, incarnation run) {
  self_ = {node, run};
}

std::optional<idempotency_key> key_register::Issue(
    event_context& context,
    const request_metadata& metadata) {
  ForgetExpired(context);
  if (IsMemoryFull()) {
    return std::nullopt;
  }
  slot& added = slots_.emplace_back();
  added.nonce = context.Random();
  added.issued = context.now();
  added.request = HashOf(metadata);
  ScheduleForgetting(context);
  context.Count(counter::kKeysIssued);
  const std::uint64_t serial = first_serial_ + slots_.size() - 1;
  return Format({self_, serial, added.nonce});
}

std::optional<key_home> key_register::HomeOf(const idempotency_key& key) {
  const std::optional<issued_key> parsed = ParseKey(key);
  if (!parsed) {
    return std::nullopt;
  }
  return parsed->home;
}

key_decision key_register::OnWork(event_context& context,
                                  const request_metadata& metadata,
                                  work_id work) {
  ForgetExpired(context);
  const std::optional<issued_key> key = ParseKey(*metadata.key);
  key_decision refused{key_verdict::kRefuse, error_kind::kKeyNotIssued,
                       execution_state::kNotExecuted};
  if (key && key->home != self_) {
    // Only the home knows whether an earlier send ran.
    refused = {key_verdict::kRefuse, error_kind::kKeyHomeGone,
               execution_state::kUnknown};
  } else if (key && key->serial < first_serial_) {
    refused = {key_verdict::kRefuse, error_kind::kKeyExpired,
               execution_state::kUnknown};
  } else if (key) {
    slot* const found = Find(*metadata.key);
    if (found != nullptr && found->request == HashOf(metadata)) {
      return Decide(context, *found, work);
    }
    // It may stem from another process that ran under the same incarnation.
    refused.execution = execution_state::kUnknown;
  }
  context.Count(counter::kKeysRefused);
  return refused;
}

key_decision key_register::Decide(event_context& context,
                                  slot& found,
                                  work_id work) {
  switch (found.state) {
    case slot_state::kUnused:
      if (answer_bytes_ >= bounds_.answer_bytes) {
        context.Count(counter::kKeysRefused);
        return {key_verdict::kRefuse, error_kind::kKeyMemoryFull,
                execution_state::kNotExecuted};
      }
      found.state = slot_state::kInProgress;
      found.work = work;
      return {key_verdict::kRun};
    case slot_state::kInProgress:
      context.Count(counter::kKeysRefused);
      return {key_verdict::kRefuse, error_kind::kKeyInProgress,
              execution_state::kUnknown};
    case slot_state::kRemembered:
      context.Count(counter::kKeysReplayed);
      return {key_verdict::kReplay};
    case slot_state::kSealed:
      context.Count(counter::kKeysRefused);
      return {key_verdict::kRefuse, found.sealed_as, found.execution};
  }
  return {key_verdict::kRefuse};
}

void key_register::OnNotRun(const idempotency_key& key, work_id work) {
  slot* const found = Find(key);
  if (found == nullptr || found->state != slot_state::kInProgress ||
      found->work != work) {
    return;
  }
  found->state = slot_state::kUnused;
}

void key_register::OnFinished(event_context& context,
                              const idempotency_key& key,
                              work_id work,
                              const outcome& result) {
  slot* const found = Find(key);
  if (found == nullptr || found->state != slot_state::kInProgress ||
      found->work != work) {
    return;
  }
  const std::uint64_t size = result.body_size + kAnswerOverheadBytes;
  found->execution = result.execution;
  if (result.is_complete() && answer_bytes_ + size <= bounds_.answer_bytes) {
    found->state = slot_state::kRemembered;
    found->answer_bytes = static_cast<std::uint32_t>(size);
    answer_bytes_ += size;
    context.Emit(cache_answer{key, work});
    return;
  }
  found->state = slot_state::kSealed;
  found->sealed_as = result.error.value_or(error_kind::kAnswerLost);
}

void key_register::OnTimer(event_context& context) {
  is_forgetting_scheduled_ = false;
  ForgetExpired(context);
  ScheduleForgetting(context);
}

key_register::slot* key_register::Find(const idempotency_key& text) {
  const std::optional<issued_key> key = ParseKey(text);
  if (!key || key->home != self_ || key->serial < first_serial_) {
    return nullptr;
  }
  const std::uint64_t position = key->serial - first_serial_;
  if (position >= slots_.size() || slots_[position].nonce != key->nonce) {
    return nullptr;
  }
  return &slots_[position];
}

bool key_register::IsMemoryFull() const {
  return slots_.size() >= bounds_.keys || answer_bytes_ >= bounds_.answer_bytes;
}

// Keys expire in the order of their issue, so one comparison of serials tells
// an expired key from a live one, however long ago it was forgotten.
void key_register::ForgetExpired(event_context& context) {
  while (!slots_.empty() && slots_.front().issued + kKeyLife <= context.now()) {
    const slot& oldest = slots_.front();
    if (oldest.state == slot_state::kRemembered) {
      answer_bytes_ -= oldest.answer_bytes;
      context.Emit(evict_answer{Format({self_, first_serial_, oldest.nonce})});
    }
    if (oldest.state != slot_state::kUnused) {
      context.Count(counter::kKeysForgotten);
    }
    slots_.pop_front();
    ++first_serial_;
  }
}

void key_register::ScheduleForgetting(event_context& context) {
  if (slots_.empty() || is_forgetting_scheduled_) {
    return;
  }
  is_forgetting_scheduled_ = true;
  const instant due = std::max(slots_.front().issued + kKeyLife,
                               context.now() + kForgetInterval);
  context.timers().Schedule({timer_owner::kIdempotencyKeys}, due);
}

}  // namespace auburnfold
