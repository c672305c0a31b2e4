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
  std::vector<node_id> tried;
  /// Nodes whose endpoint received the call, or may have.
  std::vector<node_id> seen_by;
  /// Maximum number of endpoints that may receive the call. Once reached, only
  /// these endpoints are tried again.
  std::uint16_t most_endpoints = std::numeric_limits<std::uint16_t>::max();

  /// Whether an endpoint received the call, or may have.
  bool is_seen() const { return !seen_by.empty(); }
  bool IsTried(node_id node) const;
  bool IsTriedLast(node_id node) const;
  bool MayGoTo(node_id node) const;
  /// The endpoint of the last attempt received the call, or may have.
  void OnSeen();
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ATTEMPT_HISTORY_H_
