#include "LibDecision/Retries/retry_allowances.h"

namespace auburnfold {

void retry_allowances::Open(work_id work, std::uint16_t allowance) {
  allowances_[work] = allowance;
}

std::uint16_t retry_allowances::Close(work_id work) {
  const auto found = allowances_.find(work);
  if (found == allowances_.end()) {
    return 0;
  }
  const std::uint16_t remaining = found->second;
  allowances_.erase(found);
  return remaining;
}

// Half, rounded up: the first of several parallel calls gets the most, and a
// chain of single calls passes on everything but what a sibling may need.
std::uint16_t retry_allowances::Grant(work_id work) {
  const auto found = allowances_.find(work);
  if (found == allowances_.end()) {
    return 0;
  }
  const auto granted = static_cast<std::uint16_t>((found->second + 1) / 2);
  found->second = static_cast<std::uint16_t>(found->second - granted);
  return granted;
}

void retry_allowances::Return(work_id work, std::uint16_t allowance) {
  const auto found = allowances_.find(work);
  if (found == allowances_.end()) {
    return;
  }
  found->second = static_cast<std::uint16_t>(found->second + allowance);
}

}  // namespace auburnfold
