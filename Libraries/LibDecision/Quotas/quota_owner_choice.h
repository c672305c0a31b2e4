#ifndef LIBDECISION_QUOTAS_QUOTA_OWNER_CHOICE_H_
#define LIBDECISION_QUOTAS_QUOTA_OWNER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/member_list.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The node that keeps a tenant's quota, as this node sees it.
struct quota_owner {
  node_id node;
  /// Since when this node has seen it as the owner.
  instant since;
};

/// Chooses the owner of each tenant's quota among the ready members.
class quota_owner_choice {
 public:
  explicit quota_owner_choice(const member_list& members) : members_(members) {}

  /// Nodes that know the same members choose the same owner. Unset if no ready
  /// member is known.
  std::optional<quota_owner> OwnerOf(instant now, const tenant_name& tenant);
  /// Forgets a tenant that is no longer limited.
  void Forget(const tenant_name& tenant) { choices_.erase(tenant); }

  /// The number of ready members, now or within the last seconds, whichever is
  /// more; at least 1.
  std::size_t RecentMemberCount(instant now);
  /// Ready members now relative to `RecentMemberCount`.
  double RecentMemberShare(instant now);

 private:
  struct choice {
    quota_owner owner;
    std::uint64_t generation = 0;
  };

  void Update(instant now);
  bool IsReady(node_id node) const;
  node_id HighestRanked(const tenant_name& tenant) const;

  const member_list& members_;
  std::vector<node_id> ready_;
  std::uint64_t digest_ = 0;
  /// Incremented when the ready members may have changed.
  std::uint64_t generation_ = 0;
  instant updated_at_{};
  std::unordered_map<tenant_name, choice> choices_;
  /// The most ready members in the current and in the previous period.
  std::size_t current_peak_ = 1;
  std::size_t previous_peak_ = 1;
  instant period_end_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUOTAS_QUOTA_OWNER_CHOICE_H_
