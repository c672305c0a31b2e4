#ifndef AUBURNFOLD_LOAD_CALL_OUTCOME_H_
#define AUBURNFOLD_LOAD_CALL_OUTCOME_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace auburnfold {

/// How a call ended for its caller, all resends included.
enum class call_outcome : std::uint8_t {
  kUseful,   ///< The whole, own answer within the deadline.
  kLate,     ///< The whole answer after the deadline.
  kRefused,  ///< Certainly not run.
  kUnknown,  ///< It may have run.
  kFailed,   ///< It ran, without a useful answer.
  kForeign,  ///< Another request's answer, taken for a success.
  kPartial,  ///< A damaged answer, taken for a success.
  kUnsent,   ///< The load tool itself was too slow to send it in time.
};

inline constexpr std::size_t kCallOutcomeCount =
    static_cast<std::size_t>(call_outcome::kUnsent) + 1;

/// Names for tables and JSON, in the order of the enumerators.
inline constexpr std::array<const char*, kCallOutcomeCount> kCallOutcomeNames =
    {"useful", "late",    "refused", "unknown",
     "failed", "foreign", "partial", "unsent"};

/// A call that has ended. Times count from the start of the run.
struct finished_call {
  std::size_t class_index = 0;
  std::size_t phase_index = 0;
  call_outcome outcome = call_outcome::kUseful;
  /// When it was to be sent by schedule.
  std::chrono::microseconds intended{};
  std::chrono::microseconds ended{};
  /// How often it was sent.
  std::uint32_t sends = 0;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_CALL_OUTCOME_H_
