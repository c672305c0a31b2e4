#ifndef LIBDECISION_ROUTING_ATTEMPT_HISTORY_H_
#define LIBDECISION_ROUTING_ATTEMPT_HISTORY_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "LibDecision/ids.h"

namespace auburnfold {

/// The nodes that earlier attempts of a call were sent to.
struct attempt_history {
  /// In the order of the attempts; a node may occur several times.
  std::vector<node_id> tried_nodes;
  /// Nodes whose endpoint received the call, or may have.
  std::vector<node_id> reached_nodes;
  /// Maximum number of endpoints that may receive the call. Once reached, only
  /// these endpoints are tried again.
  std::uint16_t max_endpoints = std::numeric_limits<std::uint16_t>::max();

  /// Whether an endpoint received the call, or may have.
  bool may_have_reached_endpoint() const { return !reached_nodes.empty(); }
  bool HasTried(node_id node) const;
  bool HasTriedLast(node_id node) const;
  bool MayTry(node_id node) const;
  /// The endpoint of the last attempt received the call, or may have.
  void OnReached();
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ATTEMPT_HISTORY_H_
