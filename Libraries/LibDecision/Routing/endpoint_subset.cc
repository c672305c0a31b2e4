#include "LibDecision/Routing/endpoint_subset.h"

#include <algorithm>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

struct scored_record {
  std::uint64_t score = 0;
  const member_record* record = nullptr;
};

// Rendezvous hashing gives each caller its own order of the endpoints.
std::vector<scored_record> OrderForCaller(
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

std::vector<member_record> ChooseSubset(
    node_id caller,
    const domain_name& domain,
    const std::vector<const member_record*>& ready) {
  std::vector<member_record> subset;
  std::vector<const member_record*> remaining;
  for (const scored_record& candidate : OrderForCaller(caller, ready)) {
    const bool is_local = candidate.record->domain == domain;
    if (is_local && subset.size() < kMaxSubsetSize / 2) {
      subset.push_back(*candidate.record);
    } else {
      remaining.push_back(candidate.record);
    }
  }
  for (const member_record* record : remaining) {
    if (subset.size() == kMaxSubsetSize) {
      break;
    }
    subset.push_back(*record);
  }
  return subset;
}

}  // namespace auburnfold
