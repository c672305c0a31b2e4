#ifndef LIBDECISION_ROUTING_ENDPOINT_SUBSET_H_
#define LIBDECISION_ROUTING_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/member_record.h"

namespace auburnfold {

/// Maximum number of endpoints of one service that one caller uses.
inline constexpr std::size_t kMaxSubsetSize = 16;

/// Chooses the endpoints among `ready` that `caller` uses. The choice is
/// deterministic, spreads callers evenly over the endpoints, and prefers the
/// caller's failure domain for up to half of the subset. Adding or removing one
/// ready endpoint changes at most one endpoint of the subset.
std::vector<member_record> ChooseSubset(
    node_id caller,
    const domain_name& domain,
    const std::vector<const member_record*>& ready);

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ENDPOINT_SUBSET_H_
