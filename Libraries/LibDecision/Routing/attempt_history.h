#ifndef LIBDECISION_ROUTING_ATTEMPT_HISTORY_H_
#define LIBDECISION_ROUTING_ATTEMPT_HISTORY_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "LibDecision/ids.h"

namespace auburnfold {

/// Where earlier attempts of a call went.
struct attempt_history {
  /// Nodes that were tried; the last one comes last.
  std::vector<node_id> tried;
  /// Nodes whose endpoints saw the call, or may have.
  std::vector<node_id> seen_by;
  /// Most endpoints that may see the call; once as many have, it goes only to
  /// these again.
  std::uint16_t most_endpoints = std::numeric_limits<std::uint16_t>::max();

  /// An endpoint saw the call, or may have.
  bool is_seen() const { return !seen_by.empty(); }
  bool IsTried(node_id node) const;
  bool IsTriedLast(node_id node) const;
  bool MayGoTo(node_id node) const;
  /// The endpoint of the last attempt saw the call, or may have.
  void OnSeen();
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ATTEMPT_HISTORY_H_
