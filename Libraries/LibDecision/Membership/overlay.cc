#include "LibDecision/Membership/overlay.h"

#include <algorithm>
#include <cstdint>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

constexpr int kRingNeighbours = 2;
constexpr std::uint64_t kFingers = 4;

void AddOnce(std::vector<node_id>& nodes, node_id node, node_id self) {
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
  for (int taken = 0; taken < kRingNeighbours; ++taken) {
    last = list.After(last).node;
    AddOnce(nodes, last, self);
  }
  for (std::uint64_t finger = 1; finger <= kFingers; ++finger) {
    const node_id point(MixBits(self.value() + finger * kGoldenGamma));
    AddOnce(nodes, list.AtOrAfter(point).node, self);
  }
  return nodes;
}

std::vector<node_id> WatchedBy(const member_list& list, node_id self) {
  std::vector<node_id> nodes;
  if (list.members().empty()) {
    return nodes;
  }
  node_id last = self;
  for (int taken = 0; taken < kRingNeighbours; ++taken) {
    last = list.Before(last).node;
    AddOnce(nodes, last, self);
  }
  return nodes;
}

}  // namespace auburnfold
