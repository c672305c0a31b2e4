#ifndef LIBRUNTIME_OBSERVABILITY_DECISION_LOG_H_
#define LIBRUNTIME_OBSERVABILITY_DECISION_LOG_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "LibDecision/decision_record.h"

namespace auburnfold {

/// Writes each decision as a log line with one JSON object.
///
/// The volume is limited in two ways. Records of routine kinds are sampled by
/// the id of the root request, so that all nodes log the same requests
/// completely. Each kind of record also has a maximum of lines per second; the
/// number of suppressed lines is logged before the first line of a later
/// second.
class decision_log {
 public:
  using clock = std::chrono::steady_clock;

  void Write(const decision_record& record);

 private:
  struct line_budget {
    std::uint32_t written = 0;
    std::uint64_t suppressed = 0;
  };

  void StartWindow(clock::time_point now);

  std::array<line_budget, kDecisionKindCount> budgets_{};
  clock::time_point window_end_{};
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_OBSERVABILITY_DECISION_LOG_H_
