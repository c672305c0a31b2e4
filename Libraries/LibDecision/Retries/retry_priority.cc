#include "LibDecision/Retries/retry_priority.h"

#include "LibDecision/Pressure/rank.h"

namespace auburnfold {

retry_priority RetryPriorityOf(const request_metadata& metadata) {
  // The highest two priorities, which are refused last.
  const bool is_important =
      metadata.priority.value_or(0) + 1 >= kHighestPriority;
  if (!is_important) {
    return retry_priority::kLowPriority;
  }
  if (metadata.depth == 0) {
    return retry_priority::kRootCall;
  }
  return metadata.answered_siblings == 0 ? retry_priority::kFirstCall
                                         : retry_priority::kLaterCall;
}

}  // namespace auburnfold
