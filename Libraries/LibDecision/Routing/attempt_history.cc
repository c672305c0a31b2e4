#include "LibDecision/Routing/attempt_history.h"

#include <algorithm>

namespace auburnfold {

bool attempt_history::HasTried(node_id node) const {
  return std::find(tried_nodes.begin(), tried_nodes.end(), node) !=
         tried_nodes.end();
}

bool attempt_history::HasTriedLast(node_id node) const {
  return !tried_nodes.empty() && tried_nodes.back() == node;
}

bool attempt_history::MayTry(node_id node) const {
  return reached_nodes.size() < max_endpoints ||
         std::find(reached_nodes.begin(), reached_nodes.end(), node) !=
             reached_nodes.end();
}

void attempt_history::OnReached() {
  const node_id last = tried_nodes.back();
  if (std::find(reached_nodes.begin(), reached_nodes.end(), last) ==
      reached_nodes.end()) {
    reached_nodes.push_back(last);
  }
}

}  // namespace auburnfold
