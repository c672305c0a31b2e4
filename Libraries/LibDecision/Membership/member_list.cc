#include "LibDecision/Membership/member_list.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

auto AgeOf(const member_record& record) {
  return std::tuple(record.run, record.version, record.state);
}

}  // namespace

bool IsNewer(const member_record& left, const member_record& right) {
  return AgeOf(left) > AgeOf(right);
}

bool member_list::Take(const member_record& record) {
  const member_record* held = Find(record.node);
  if (held != nullptr && !IsNewer(record, *held)) {
    return false;
  }
  Replace(record);
  return true;
}

void member_list::Replace(const member_record& record) {
  const bool is_first = Find(record.node) == nullptr;
  Remove(record.node);
  Add(record);
  if (is_first) {
    bucket_nodes_[BucketOf(record.node)].push_back(record.node);
  }
}

void member_list::Forget(node_id node) {
  if (gone_.erase(node) > 0) {
    std::erase(bucket_nodes_[BucketOf(node)], node);
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
  const auto found = ready_.find(service);
  if (found == ready_.end()) {
    return ready;
  }
  ready.reserve(found->second.size());
  for (const auto& [node, record] : found->second) {
    ready.push_back(record);
  }
  return ready;
}

bool member_list::has_service(const service_name& service) const {
  return services_.contains(service);
}

std::vector<std::uint64_t> member_list::bucket_digests() const {
  return {buckets_.begin(), buckets_.end()};
}

std::vector<member_record> member_list::InBucket(std::size_t bucket) const {
  std::vector<member_record> inside;
  for (const node_id& node : bucket_nodes_.at(bucket)) {
    inside.push_back(*Find(node));
  }
  return inside;
}

std::size_t member_list::BucketOf(node_id node) {
  return MixBits(node.value()) % kBucketCount;
}

void member_list::Add(const member_record& record) {
  services_.insert(record.service);
  if (record.state == member_state::kGone) {
    gone_.emplace(record.node, record);
    return;
  }
  const auto added = members_.emplace(record.node, record).first;
  AddToDigests(record);
  if (record.state == member_state::kReady) {
    ready_[record.service][record.node] = &added->second;
  }
}

void member_list::Remove(node_id node) {
  gone_.erase(node);
  const auto found = members_.find(node);
  if (found == members_.end()) {
    return;
  }
  AddToDigests(found->second);
  const auto offered = ready_.find(found->second.service);
  if (offered != ready_.end()) {
    offered->second.erase(node);
    if (offered->second.empty()) {
      ready_.erase(offered);
    }
  }
  members_.erase(found);
}

// Adding the same record twice removes it again.
void member_list::AddToDigests(const member_record& record) {
  std::uint64_t hash = MixBits(record.node.value() + kGoldenGamma);
  hash = MixBits(hash + record.run.value());
  hash = MixBits(hash + record.version);
  hash = MixBits(hash + static_cast<std::uint64_t>(record.state));
  buckets_[BucketOf(record.node)] ^= hash;
  digest_ ^= hash;
}

}  // namespace auburnfold
