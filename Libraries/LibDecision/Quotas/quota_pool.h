#ifndef LIBDECISION_QUOTAS_QUOTA_POOL_H_
#define LIBDECISION_QUOTAS_QUOTA_POOL_H_

#include <cstddef>
#include <unordered_map>

#include "LibDecision/Routes/route.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/quota_usage.h"

namespace auburnfold {

/// The fleet, as the owner of a quota sees it.
struct quota_fleet {
  /// Ready members now relative to those within the last seconds.
  double member_share = 1;
  std::size_t member_count = 1;
};

/// A tenant's quota at its owner: a token bucket that all nodes draw from. What
/// is reported after its use may put the bucket into debt.
class quota_pool {
 public:
  /// The bucket fills from `since`, when the node became the owner.
  quota_pool(instant now, const tenant_quota& limit, instant since);

  /// Takes effect at once.
  void SetLimit(instant now, const tenant_quota& limit);
  /// Accounts for the usage of `from` and grants requests.
  quota_grant Take(instant now,
                   node_id from,
                   const quota_usage& usage,
                   const quota_fleet& fleet);
  /// Nothing is lost if the pool is discarded and later created anew.
  bool IsIdle(instant now) const;

 private:
  struct reporter {
    instant reported_at;
    /// When the node is silent unless it has reported again.
    instant silent_at;
  };

  double capacity() const;
  void Refill(instant now, const quota_fleet& fleet);
  /// The part of the rate left to nodes that announced a report and are silent:
  /// they may be cut off and use their equal part.
  double ReservedShare(instant now, const quota_fleet& fleet);
  duration ReportAfter(bool is_ample) const;
  /// Accounts for requests that were admitted before they were reported.
  void Charge(std::uint32_t admitted);

  tenant_quota limit_;
  double balance_ = 0;
  /// What recently did not fit into the bucket.
  double overflow_ = 0;
  /// Requests within about the last second that were used, and that could not
  /// be granted.
  double used_ = 0;
  double unmet_ = 0;
  double reserved_ = 0;
  instant refilled_at_;
  instant counted_at_;
  std::unordered_map<node_id, reporter> reporters_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUOTAS_QUOTA_POOL_H_
