#include "LibDecision/Retries/retry_priority.h"

#include "LibDecision/Pressure/rank.h"

namespace auburnfold {

retry_priority RetryPriorityOf(const request_facts& facts) {
  // The highest two priorities, which are refused last.
  const bool is_important = facts.priority.value_or(0) + 1 >= kHighestPriority;
  if (!is_important) {
    return retry_priority::kLowPriority;
  }
  if (facts.depth == 0) {
    return retry_priority::kRootCall;
  }
  return facts.answered_siblings == 0 ? retry_priority::kFirstCall
                                      : retry_priority::kLaterCall;
}

}  // namespace auburnfold
