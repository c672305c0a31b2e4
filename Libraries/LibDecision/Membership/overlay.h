#ifndef LIBDECISION_MEMBERSHIP_OVERLAY_H_
#define LIBDECISION_MEMBERSHIP_OVERLAY_H_

#include <vector>

#include "LibDecision/Membership/member_list.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// The members to which `self` sends heartbeats and changes: the next two on
/// the ring, and a few that the hash of `self` picks. A join or leave changes
/// the neighbours of a few nodes only.
std::vector<node_id> NeighboursOf(const member_list& list, node_id self);

/// The members whose heartbeats `self` must hear: the two before it.
std::vector<node_id> WatchedBy(const member_list& list, node_id self);

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_OVERLAY_H_
