#include "LibDecision/Retries/retry_allowance.h"

namespace auburnfold {

void retry_allowance::Open(work_id work, std::uint16_t allowance) {
  accounts_[work] = allowance;
}

std::uint16_t retry_allowance::Close(work_id work) {
  const auto found = accounts_.find(work);
  if (found == accounts_.end()) {
    return 0;
  }
  const std::uint16_t left = found->second;
  accounts_.erase(found);
  return left;
}

// Half, rounded up: the first of several parallel calls gets the most, and a
// chain of single calls passes everything on but what a sibling may need.
std::uint16_t retry_allowance::Grant(work_id work) {
  const auto found = accounts_.find(work);
  if (found == accounts_.end()) {
    return 0;
  }
  const auto granted = static_cast<std::uint16_t>((found->second + 1) / 2);
  found->second = static_cast<std::uint16_t>(found->second - granted);
  return granted;
}

void retry_allowance::Return(work_id work, std::uint16_t allowance) {
  const auto found = accounts_.find(work);
  if (found == accounts_.end()) {
    return;
  }
  found->second = static_cast<std::uint16_t>(found->second + allowance);
}

}  // namespace auburnfold
