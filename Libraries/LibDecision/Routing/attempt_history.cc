#include "LibDecision/Routing/attempt_history.h"

#include <algorithm>

namespace auburnfold {

bool attempt_history::IsTried(node_id node) const {
  return std::find(tried.begin(), tried.end(), node) != tried.end();
}

bool attempt_history::IsTriedLast(node_id node) const {
  return !tried.empty() && tried.back() == node;
}

bool attempt_history::MayGoTo(node_id node) const {
  return seen_by.size() < most_endpoints ||
         std::find(seen_by.begin(), seen_by.end(), node) != seen_by.end();
}

void attempt_history::OnSeen() {
  const node_id last = tried.back();
  if (std::find(seen_by.begin(), seen_by.end(), last) == seen_by.end()) {
    seen_by.push_back(last);
  }
}

}  // namespace auburnfold
