#ifndef LIBDECISION_PEER_VIEW_H_
#define LIBDECISION_PEER_VIEW_H_

#include <string>
#include <vector>

#include "LibDecision/Quarantine/crash_record.h"
#include "LibDecision/member_record.h"

namespace auburnfold {

/// The routes, members and crashes that a node knows. Sent to a node that
/// cannot reach the key-value store.
struct peer_view {
  /// The value of the routes in force at the node; empty if there are none.
  std::string routes;
  std::vector<member_record> members;
  std::vector<crash_record> crashes;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PEER_VIEW_H_
