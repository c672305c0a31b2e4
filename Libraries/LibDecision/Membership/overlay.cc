#include "LibDecision/Membership/overlay.h"

#include <algorithm>
#include <cstdint>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

constexpr int kRingNeighbours = 2;
constexpr std::uint64_t kHashedNeighbours = 4;

void AddIfAbsent(std::vector<node_id>& nodes, node_id node, node_id self) {
  const bool is_known = node == self || std::find(nodes.begin(), nodes.end(),
                                                  node) != nodes.end();
  if (!is_known) {
    nodes.push_back(node);
  }
}

}  // namespace

std::vector<node_id> NeighboursOf(const member_list& list, node_id self) {
  std::vector<node_id> nodes;
  if (list.members().empty()) {
    return nodes;
  }
  node_id last = self;
  for (int count = 0; count < kRingNeighbours; ++count) {
    last = list.After(last).node;
    AddIfAbsent(nodes, last, self);
  }
  for (std::uint64_t index = 1; index <= kHashedNeighbours; ++index) {
    const node_id point(MixBits(self.value() + index * kGoldenGamma));
    AddIfAbsent(nodes, list.AtOrAfter(point).node, self);
  }
  return nodes;
}

std::vector<node_id> MonitoredBy(const member_list& list, node_id self) {
  std::vector<node_id> nodes;
  if (list.members().empty()) {
    return nodes;
  }
  node_id last = self;
  for (int count = 0; count < kRingNeighbours; ++count) {
    last = list.Before(last).node;
    AddIfAbsent(nodes, last, self);
  }
  return nodes;
}

}  // namespace auburnfold
