#include "LibDecision/Membership/member_list.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

auto OrderingKey(const member_record& record) {
  return std::tuple(record.run, record.version, record.state);
}

}  // namespace

bool IsNewer(const member_record& left, const member_record& right) {
  return OrderingKey(left) > OrderingKey(right);
}

bool member_list::ApplyIfNewer(const member_record& record) {
  const member_record* current = Find(record.node);
  if (current != nullptr && !IsNewer(record, *current)) {
    return false;
  }
  Replace(record);
  return true;
}

void member_list::Replace(const member_record& record) {
  const bool is_new = Find(record.node) == nullptr;
  Remove(record.node);
  Add(record);
  if (is_new) {
    nodes_by_bucket_[BucketOf(record.node)].push_back(record.node);
  }
}

void member_list::DiscardGone(node_id node) {
  if (gone_.erase(node) > 0) {
    std::erase(nodes_by_bucket_[BucketOf(node)], node);
  }
}

const member_record* member_list::Find(node_id node) const {
  if (const auto found = members_.find(node); found != members_.end()) {
    return &found->second;
  }
  const auto found = gone_.find(node);
  return found == gone_.end() ? nullptr : &found->second;
}

const member_record& member_list::AtOrAfter(node_id point) const {
  assert(!members_.empty());
  const auto found = members_.lower_bound(point);
  return found == members_.end() ? members_.begin()->second : found->second;
}

const member_record& member_list::After(node_id node) const {
  assert(!members_.empty());
  const auto found = members_.upper_bound(node);
  return found == members_.end() ? members_.begin()->second : found->second;
}

const member_record& member_list::Before(node_id node) const {
  assert(!members_.empty());
  const auto found = members_.lower_bound(node);
  return found == members_.begin() ? members_.rbegin()->second
                                   : std::prev(found)->second;
}

std::vector<const member_record*> member_list::Ready(
    const service_name& service) const {
  std::vector<const member_record*> ready;
  const auto found = ready_by_service_.find(service);
  if (found == ready_by_service_.end()) {
    return ready;
  }
  ready.reserve(found->second.size());
  for (const auto& [node, record] : found->second) {
    ready.push_back(record);
  }
  return ready;
}

bool member_list::has_service(const service_name& service) const {
  return known_services_.contains(service);
}

std::vector<std::uint64_t> member_list::bucket_digests() const {
  return {bucket_digests_.begin(), bucket_digests_.end()};
}

std::vector<member_record> member_list::RecordsInBucket(
    std::size_t bucket) const {
  std::vector<member_record> result;
  for (const node_id& node : nodes_by_bucket_.at(bucket)) {
    result.push_back(*Find(node));
  }
  return result;
}

std::size_t member_list::BucketOf(node_id node) {
  return MixBits(node.value()) % kBucketCount;
}

void member_list::Add(const member_record& record) {
  known_services_.insert(record.service);
  if (record.state == member_state::kGone) {
    gone_.emplace(record.node, record);
    return;
  }
  const auto added = members_.emplace(record.node, record).first;
  ToggleInDigests(record);
  if (record.state == member_state::kReady) {
    ready_by_service_[record.service][record.node] = &added->second;
  }
}

void member_list::Remove(node_id node) {
  gone_.erase(node);
  const auto found = members_.find(node);
  if (found == members_.end()) {
    return;
  }
  ToggleInDigests(found->second);
  const auto ready_nodes = ready_by_service_.find(found->second.service);
  if (ready_nodes != ready_by_service_.end()) {
    ready_nodes->second.erase(node);
    if (ready_nodes->second.empty()) {
      ready_by_service_.erase(ready_nodes);
    }
  }
  members_.erase(found);
}

// XORs the record's hash into the digests, so that a second call with the same
// record removes it.
void member_list::ToggleInDigests(const member_record& record) {
  std::uint64_t hash = MixBits(record.node.value() + kGoldenGamma);
  hash = MixBits(hash + record.run.value());
  hash = MixBits(hash + record.version);
  hash = MixBits(hash + static_cast<std::uint64_t>(record.state));
  bucket_digests_[BucketOf(record.node)] ^= hash;
  digest_ ^= hash;
}

}  // namespace auburnfold
