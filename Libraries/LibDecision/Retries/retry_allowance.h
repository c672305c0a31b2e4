#ifndef LIBDECISION_RETRIES_RETRY_ALLOWANCE_H_
#define LIBDECISION_RETRIES_RETRY_ALLOWANCE_H_

#include <cstdint>
#include <unordered_map>

#include "LibDecision/ids.h"

namespace auburnfold {

/// The retries that each work running at the own endpoint may still hand to
/// its deeper calls. What a deeper call is granted is taken from its work and
/// given back only by an answer, so a lost answer counts as spent.
class retry_allowance {
 public:
  void Open(work_id work, std::uint16_t allowance);
  /// Closes the account and returns what is left; 0 if it is not open.
  std::uint16_t Close(work_id work);
  /// Takes the share for one deeper call; 0 if `work` has no open account.
  std::uint16_t Grant(work_id work);
  /// Gives back what a deeper call did not spend.
  void Return(work_id work, std::uint16_t allowance);

 private:
  std::unordered_map<work_id, std::uint16_t> accounts_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_ALLOWANCE_H_
