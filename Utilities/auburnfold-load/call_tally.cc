#include "auburnfold-load/call_tally.h"

namespace auburnfold {

void call_tally::Add(const finished_call& call) {
  ++sent_;
  if (call.sends > 1) {
    retries_ += call.sends - 1;
  }
  ++by_outcome_[static_cast<std::size_t>(call.outcome)];
  if (call.outcome == call_outcome::kUseful) {
    latency_.Add(call.ended - call.intended);
  }
}

double call_tally::goodput_share() const {
  if (sent_ == 0) {
    return 1.0;
  }
  return static_cast<double>(of(call_outcome::kUseful)) /
         static_cast<double>(sent_);
}

}  // namespace auburnfold
