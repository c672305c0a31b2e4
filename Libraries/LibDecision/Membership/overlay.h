#ifndef LIBDECISION_MEMBERSHIP_OVERLAY_H_
#define LIBDECISION_MEMBERSHIP_OVERLAY_H_

#include <vector>

#include "LibDecision/Membership/member_list.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// The members to which `self` sends heartbeats and changes: its two successors
/// on the ring, and up to four that are picked by hashes of its id. A join or
/// leave therefore changes the neighbours of only a few nodes.
std::vector<node_id> NeighboursOf(const member_list& list, node_id self);

/// The members whose failures `self` detects: its two predecessors on the ring,
/// which send heartbeats to it.
std::vector<node_id> MonitoredBy(const member_list& list, node_id self);

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_OVERLAY_H_
