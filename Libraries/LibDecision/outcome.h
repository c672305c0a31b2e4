#ifndef LIBDECISION_OUTCOME_H_
#define LIBDECISION_OUTCOME_H_

#include <cstdint>
#include <optional>

#include "LibDecision/answer_facts.h"
#include "LibDecision/error_kind.h"

namespace auburnfold {

/// How one attempt at another node, or one run at the own endpoint, ended.
/// A whole answer has no error. `ran` is what is certain about this send, not
/// what the error kind says in general: an error that a peer reports carries
/// the peer's own knowledge.
struct outcome {
  std::optional<error_kind> error;
  run_state ran = run_state::kRan;
  /// Absent when no peer answered.
  std::optional<answer_facts> peer;
  /// The answer is whole, and says that the endpoint failed.
  bool is_failure = false;
  /// Bytes of the answer's body.
  std::uint64_t body_size = 0;

  bool is_whole() const { return !error.has_value(); }
};

}  // namespace auburnfold

#endif  // LIBDECISION_OUTCOME_H_
