#include "LibDecision/Retries/retry_claim.h"

#include "LibDecision/Pressure/rank.h"

namespace auburnfold {

retry_claim ClaimOf(const request_metadata& metadata) {
  // Of the priority that is refused last, or the next one.
  const bool is_important =
      metadata.priority.value_or(0) + 1 >= kHighestPriority;
  if (!is_important) {
    return retry_claim::kUnimportant;
  }
  if (metadata.depth == 0) {
    return retry_claim::kSingle;
  }
  return metadata.answered_siblings == 0 ? retry_claim::kFirstCall
                                         : retry_claim::kLaterCall;
}

}  // namespace auburnfold
