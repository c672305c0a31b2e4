#include "LibDecision/Routing/router.h"

#include <algorithm>

namespace auburnfold {

const member_record* router::Choose(
    step& now,
    const std::vector<const member_record*>& ready,
    const std::vector<node_id>& tried) {
  std::vector<const member_record*> candidates;
  for (const member_record* record : ready) {
    if (std::find(tried.begin(), tried.end(), record->node) == tried.end()) {
      candidates.push_back(record);
    }
  }
  if (candidates.empty()) {
    candidates = ready;
  }
  if (candidates.empty()) {
    return nullptr;
  }
  const member_record* first = candidates[now.RandomBelow(candidates.size())];
  const member_record* second = candidates[now.RandomBelow(candidates.size())];
  const bool is_first_freer =
      endpoints_[first->node].in_flight <= endpoints_[second->node].in_flight;
  return is_first_freer ? first : second;
}

void router::OnSent(step&, node_id node) {
  ++endpoints_[node].in_flight;
}

void router::OnFinished(step&, node_id node, const outcome&, duration) {
  --endpoints_[node].in_flight;
}

void router::OnCancelled(step&, node_id node) {
  --endpoints_[node].in_flight;
}

}  // namespace auburnfold
