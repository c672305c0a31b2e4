#include "LibDecision/Once/key_register.h"

namespace auburnfold {

void key_register::Start(node_id node, incarnation run) {
  node_ = node;
  run_ = run;
}

// FIXME: No key is issued yet, so work with a key is refused.
std::optional<idempotency_key> key_register::Issue(step&) {
  return std::nullopt;
}

std::optional<key_home> key_register::HomeOf(const idempotency_key&) {
  return std::nullopt;
}

key_decision key_register::OnWork(step&, const idempotency_key&, work_id) {
  return {key_verdict::kRefuse, error_kind::kKeyNotIssued};
}

void key_register::OnNotRun(step&, const idempotency_key&) {}

void key_register::OnFinished(step&,
                              const idempotency_key&,
                              work_id,
                              const outcome&) {}

void key_register::OnTimer(step&, std::uint64_t) {}

}  // namespace auburnfold
