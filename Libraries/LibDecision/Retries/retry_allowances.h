#ifndef LIBDECISION_RETRIES_RETRY_ALLOWANCES_H_
#define LIBDECISION_RETRIES_RETRY_ALLOWANCES_H_

#include <cstdint>
#include <unordered_map>

#include "LibDecision/ids.h"

namespace auburnfold {

/// The retries that each request at the local endpoint may still pass on to its
/// child calls. The allowance granted to a child call is deducted and returned
/// only with an answer, so a lost answer counts as spent.
class retry_allowances {
 public:
  /// Sets the allowance with which `work` starts.
  void Open(work_id work, std::uint16_t allowance);
  /// Removes the allowance of `work` and returns what remains; 0 if there is
  /// none.
  std::uint16_t Close(work_id work);
  /// Takes the part for one child call; 0 if `work` has no allowance.
  std::uint16_t Grant(work_id work);
  /// Adds back what a child call did not spend.
  void Return(work_id work, std::uint16_t allowance);

 private:
  std::unordered_map<work_id, std::uint16_t> allowances_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_ALLOWANCES_H_
