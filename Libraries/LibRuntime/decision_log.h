#ifndef LIBRUNTIME_DECISION_LOG_H_
#define LIBRUNTIME_DECISION_LOG_H_

#include <array>
#include <chrono>
#include <cstdint>

#include "LibDecision/decision_record.h"

namespace auburnfold {

/// Writes decisions as log lines, each one JSON object.
///
/// The volume is bounded. Of the requests that go their usual way a sample is
/// logged, chosen by the id of the root request, so that every node logs the
/// same ones whole. Of every kind of record only so many lines are written in
/// a second; how many were left out is said once the second is over.
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

#endif  // LIBRUNTIME_DECISION_LOG_H_
