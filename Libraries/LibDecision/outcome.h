#ifndef LIBDECISION_OUTCOME_H_
#define LIBDECISION_OUTCOME_H_

#include <cstdint>
#include <optional>

#include "LibDecision/answer_metadata.h"
#include "LibDecision/endpoint_signals.h"
#include "LibDecision/error_kind.h"

namespace auburnfold {

/// How an attempt at another node, or work at the local endpoint, ended. A
/// complete answer has no error. `execution` states what is certain about this
/// attempt, which may differ from the default of the error kind: an error that
/// a peer reports carries the peer's own knowledge.
struct outcome {
  std::optional<error_kind> error;
  execution_state execution = execution_state::kExecuted;
  /// Metadata of the answering node; unset if none answered.
  std::optional<answer_metadata> peer;
  /// What the local endpoint's response says about the endpoint; unset if the
  /// endpoint gave none.
  std::optional<endpoint_signals> signals;
  /// The answer is complete and reports a failure of the endpoint.
  bool is_failure = false;
  /// Size of the answer's body in bytes.
  std::uint64_t body_size = 0;

  bool is_complete() const { return !error.has_value(); }
};

}  // namespace auburnfold

#endif  // LIBDECISION_OUTCOME_H_
