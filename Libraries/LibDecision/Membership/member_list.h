#ifndef LIBDECISION_MEMBERSHIP_MEMBER_LIST_H_
#define LIBDECISION_MEMBERSHIP_MEMBER_LIST_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/member_record.h"

namespace auburnfold {

/// Whether `left` describes a later state of a node than `right`.
bool IsNewer(const member_record& left, const member_record& right);

/// The newest known record of each node. Members, in the order of their ids,
/// form a ring; nodes that are gone are remembered apart from it, and are in
/// no digest.
class member_list {
 public:
  static constexpr std::size_t kBucketCount = 256;

  using record_map = std::map<node_id, member_record>;

  /// Takes `record` if it is newer than the copy held. Returns whether it was.
  bool Take(const member_record& record);
  /// Takes `record` whatever copy is held.
  void Replace(const member_record& record);
  /// Drops the memory of a node that is gone.
  void Forget(node_id node);

  /// The record of a member or of a node that is gone, or null.
  const member_record* Find(node_id node) const;

  /// The first member at `point` of the ring or after it. There must be one.
  const member_record& AtOrAfter(node_id point) const;
  /// The member after `node`, which itself need not be one.
  const member_record& After(node_id node) const;
  /// The member before `node`, which itself need not be one.
  const member_record& Before(node_id node) const;

  /// Members of `service` that are ready, by id. Pointers last until the next
  /// change.
  std::vector<const member_record*> Ready(const service_name& service) const;
  /// Whether any node has ever offered `service`.
  bool has_service(const service_name& service) const;

  const record_map& members() const { return members_; }
  const record_map& gone() const { return gone_; }

  std::uint64_t digest() const { return digest_; }
  std::vector<std::uint64_t> bucket_digests() const;
  /// Members and gone nodes of one bucket.
  std::vector<member_record> InBucket(std::size_t bucket) const;

 private:
  static std::size_t BucketOf(node_id node);
  void Add(const member_record& record);
  void Remove(node_id node);
  void AddToDigests(const member_record& record);

  record_map members_;
  record_map gone_;
  std::unordered_map<service_name, std::map<node_id, const member_record*>>
      ready_;
  std::set<service_name> services_;
  std::array<std::vector<node_id>, kBucketCount> bucket_nodes_;
  std::array<std::uint64_t, kBucketCount> buckets_{};
  std::uint64_t digest_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_MEMBER_LIST_H_
