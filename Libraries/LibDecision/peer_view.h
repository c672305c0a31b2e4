#ifndef LIBDECISION_PEER_VIEW_H_
#define LIBDECISION_PEER_VIEW_H_

#include <string>
#include <vector>

#include "LibDecision/member_record.h"

namespace auburnfold {

/// What a node tells another one that cannot reach the key-value service.
struct peer_view {
  /// The value under the route key, as it was read last; empty if none was.
  std::string routes;
  std::vector<member_record> members;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PEER_VIEW_H_
