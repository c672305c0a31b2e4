#ifndef AUBURNFOLD_LOAD_CALL_TALLY_H_
#define AUBURNFOLD_LOAD_CALL_TALLY_H_

#include <array>
#include <cstdint>

#include "auburnfold-load/call_outcome.h"
#include "auburnfold-load/log_linear_histogram.h"

namespace auburnfold {

/// Counts of calls and their latencies.
class call_tally {
 public:
  void Add(const finished_call& call);

  std::uint64_t sent() const { return sent_; }
  std::uint64_t of(call_outcome outcome) const {
    return by_outcome_[static_cast<std::size_t>(outcome)];
  }
  /// Sends beyond the first of each call.
  std::uint64_t retries() const { return retries_; }
  /// Useful answers over calls sent; 1 if none was sent.
  double goodput_share() const;
  /// From the intended send to the end of a useful answer.
  const log_linear_histogram& latency() const { return latency_; }

 private:
  std::uint64_t sent_ = 0;
  std::uint64_t retries_ = 0;
  std::array<std::uint64_t, kCallOutcomeCount> by_outcome_{};
  log_linear_histogram latency_;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_CALL_TALLY_H_
