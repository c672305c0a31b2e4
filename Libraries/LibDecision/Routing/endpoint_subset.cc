#include "LibDecision/Routing/endpoint_subset.h"

#include <algorithm>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

struct scored_record {
  std::uint64_t score = 0;
  const member_record* record = nullptr;
};

// Rendezvous hashing: each caller orders the endpoints in its own way.
std::vector<scored_record> InOrderOf(
    node_id caller,
    const std::vector<const member_record*>& ready) {
  std::vector<scored_record> ordered;
  ordered.reserve(ready.size());
  for (const member_record* record : ready) {
    ordered.push_back(
        {MixBits(caller.value() * kGoldenGamma ^ MixBits(record->node.value())),
         record});
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const scored_record& left, const scored_record& right) {
              return left.score > right.score;
            });
  return ordered;
}

}  // namespace

std::vector<member_record> SubsetFor(
    node_id caller,
    const domain_name& domain,
    const std::vector<const member_record*>& ready) {
  std::vector<member_record> subset;
  std::vector<const member_record*> others;
  for (const scored_record& each : InOrderOf(caller, ready)) {
    const bool is_local = each.record->domain == domain;
    if (is_local && subset.size() < kSubsetSize / 2) {
      subset.push_back(*each.record);
    } else {
      others.push_back(each.record);
    }
  }
  for (const member_record* record : others) {
    if (subset.size() == kSubsetSize) {
      break;
    }
    subset.push_back(*record);
  }
  return subset;
}

}  // namespace auburnfold
