#ifndef LIBDECISION_QUOTAS_LOCAL_QUOTA_H_
#define LIBDECISION_QUOTAS_LOCAL_QUOTA_H_

#include <cstdint>
#include <optional>

#include "LibDecision/Quotas/quota_floor.h"
#include "LibDecision/Routes/route.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/quota_usage.h"

namespace auburnfold {

enum class quota_decision : std::uint8_t {
  kAdmitted,
  kWait,  ///< The owner has to be asked.
  kRefused,
};

/// What a node that receives a tenant's requests knows of the tenant's quota.
class local_quota {
 public:
  explicit local_quota(const tenant_quota& limit) : limit_(limit) {}

  const tenant_quota& limit() const { return limit_; }
  /// Ends what was granted under the old limit.
  void SetLimit(const tenant_quota& limit);
  /// Another node owns the quota now.
  void OnOwnerChanged();

  /// Decides about a new request that can wait for `patience`.
  quota_decision Decide(instant now, duration patience);
  /// Whether a request that waits is admitted now.
  bool TryTake(instant now);
  /// A request that was admitted was not executed.
  void Refund(instant now);

  /// What to report to the owner while `waiting` requests wait. Unset if there
  /// is nothing. `fraction` is random in [0, 1).
  std::optional<quota_usage> TakeUsage(instant now,
                                       std::uint32_t waiting,
                                       double fraction);
  void OnGrant(instant now, const quota_grant& grant);
  /// `usage` has not reached the owner, as far as is known. Until it answers
  /// again, `floor` applies; none if requests are to be refused.
  void OnOwnerLost(instant now,
                   const quota_usage& usage,
                   std::optional<quota_floor> floor);

  bool is_owner_lost() const { return is_owner_lost_; }
  bool uses_floor() const { return floor_.has_value(); }
  /// Whether nothing is known that is worth keeping.
  bool IsIdle(instant now) const;
  /// Whether the owner has to hear from this node without a new request.
  bool has_report() const {
    return admitted_ > 0 || tokens_ > 0 || returned_ > 0 || is_announced_;
  }
  /// When the next report is due.
  instant next_report_at() const { return next_report_at_; }
  /// Time since the owner's last word; unset if there was none.
  std::optional<duration> WordAge(instant now) const;
  duration RetryAfter(instant now) const;

 private:
  bool IsAmple(instant now) const;
  bool HasWord(instant now) const;
  void ExpireTokens(instant now);
  bool Take(instant now);
  void MeasureDemand(instant now);

  tenant_quota limit_;
  bool is_ample_ = false;
  bool is_owner_lost_ = false;
  std::optional<quota_floor> floor_;
  std::optional<instant> word_at_;
  instant retry_at_{};
  duration report_after_{};
  instant next_report_at_{};
  std::uint32_t tokens_ = 0;
  instant tokens_until_{};
  /// Not reported yet.
  std::uint32_t admitted_ = 0;
  std::uint32_t returned_ = 0;
  /// The owner expects another report.
  bool is_announced_ = false;
  /// Requests per second, and those since the last measurement.
  double demand_ = 0;
  std::uint32_t arrived_ = 0;
  instant measured_at_{};
  instant last_used_at_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUOTAS_LOCAL_QUOTA_H_
