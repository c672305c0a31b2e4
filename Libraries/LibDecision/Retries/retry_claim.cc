#include "LibDecision/Retries/retry_claim.h"

#include "LibDecision/Pressure/rank.h"

namespace auburnfold {

retry_claim ClaimOf(const request_facts& facts) {
  // The highest two priorities, which are refused last.
  const bool is_important = facts.priority.value_or(0) + 1 >= kHighestPriority;
  if (!is_important) {
    return retry_claim::kUnimportant;
  }
  if (facts.depth == 0) {
    return retry_claim::kSingle;
  }
  return facts.answered_siblings == 0 ? retry_claim::kFirstCall
                                      : retry_claim::kLaterCall;
}

}  // namespace auburnfold
