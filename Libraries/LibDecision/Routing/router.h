#ifndef LIBDECISION_ROUTING_ROUTER_H_
#define LIBDECISION_ROUTING_ROUTER_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/member_record.h"
#include "LibDecision/outcome.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// Chooses the endpoint for each attempt, from this node's own observations.
class router {
 public:
  /// Chooses among `ready`, leaving out the nodes in `tried` where another
  /// remains. Nothing if `ready` is empty.
  const member_record* Choose(step& now,
                              const std::vector<const member_record*>& ready,
                              const std::vector<node_id>& tried);

  void OnSent(step& now, node_id node);
  void OnFinished(step& now,
                  node_id node,
                  const outcome& result,
                  duration elapsed);
  void OnCancelled(step& now, node_id node);

 private:
  struct observed_endpoint {
    std::uint32_t in_flight = 0;
  };
  std::unordered_map<node_id, observed_endpoint> endpoints_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ROUTER_H_
