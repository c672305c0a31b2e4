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

/// Whether `left` supersedes `right`, a record of the same node.
bool IsNewer(const member_record& left, const member_record& right);

/// The newest known record of each node. The members form a ring, ordered by
/// node id. Nodes that are gone are kept separately and are not part of the
/// digests.
class member_list {
 public:
  static constexpr std::size_t kBucketCount = 256;

  using record_map = std::map<node_id, member_record>;

  /// Applies `record` if it is newer than the local copy. Returns whether it
  /// was.
  bool ApplyIfNewer(const member_record& record);
  /// Applies `record`, even if the local copy is newer.
  void Replace(const member_record& record);
  /// Removes the record of a node that is gone. Does nothing for a member.
  void DiscardGone(node_id node);

  /// The record of a member or of a node that is gone; null if unknown.
  const member_record* Find(node_id node) const;

  /// The first member at or after `point` on the ring. The list must have
  /// members.
  const member_record& AtOrAfter(node_id point) const;
  /// The member after `node` on the ring. `node` need not be a member.
  const member_record& After(node_id node) const;
  /// The member before `node` on the ring. `node` need not be a member.
  const member_record& Before(node_id node) const;

  /// The ready members that serve `service`, ordered by id. The pointers are
  /// valid until the list changes.
  std::vector<const member_record*> Ready(const service_name& service) const;
  /// Whether any known record has ever named `service`.
  bool has_service(const service_name& service) const;

  const record_map& members() const { return members_; }
  const record_map& gone() const { return gone_; }

  std::uint64_t digest() const { return digest_; }
  std::vector<std::uint64_t> bucket_digests() const;
  /// Records of members and of gone nodes in one bucket.
  std::vector<member_record> RecordsInBucket(std::size_t bucket) const;

 private:
  static std::size_t BucketOf(node_id node);
  void Add(const member_record& record);
  void Remove(node_id node);
  void ToggleInDigests(const member_record& record);

  record_map members_;
  record_map gone_;
  std::unordered_map<service_name, std::map<node_id, const member_record*>>
      ready_by_service_;
  std::set<service_name> known_services_;
  std::array<std::vector<node_id>, kBucketCount> nodes_by_bucket_;
  std::array<std::uint64_t, kBucketCount> bucket_digests_{};
  std::uint64_t digest_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_MEMBER_LIST_H_
