#ifndef LIBDECISION_ROUTING_ENDPOINT_SUBSET_H_
#define LIBDECISION_ROUTING_ENDPOINT_SUBSET_H_

#include <cstddef>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/member_record.h"

namespace auburnfold {

/// Most endpoints of one service that one caller uses.
inline constexpr std::size_t kSubsetSize = 16;

/// The endpoints among `ready` that `caller` uses: the same ones each time,
/// spread evenly over all callers, up to half of them in the caller's own
/// failure domain. A change of `ready` by one endpoint changes at most one.
std::vector<member_record> SubsetFor(
    node_id caller,
    const domain_name& domain,
    const std::vector<const member_record*>& ready);

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ENDPOINT_SUBSET_H_
