#ifndef LIBDECISION_QUOTAS_QUOTA_FLOOR_H_
#define LIBDECISION_QUOTAS_QUOTA_FLOOR_H_

#include <cstddef>
#include <cstdint>

#include "LibDecision/Routes/route.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The equal part of a tenant's quota that a node may use while it does not
/// reach the owner. The parts of all nodes together keep the rate in any
/// window, also if each is below one request.
class quota_floor {
 public:
  /// `phase` is random in [0, 1): how far this node is from its first request.
  /// It has no burst yet.
  quota_floor(instant now,
              const tenant_quota& limit,
              std::size_t node_count,
              double phase);

  /// Whether the part allows a request now; if so, it is used.
  bool TryTake(instant now);
  /// Accounts for requests that were admitted before the owner was lost, and
  /// that it does not know of.
  void Charge(std::uint32_t admitted);
  /// What the owner has to account for when it is back: recent requests, and
  /// those that exceed the part.
  std::uint32_t Debt(instant now);
  /// When the next request will be allowed.
  duration NextAfter() const;

 private:
  void Refill(instant now);

  double rate_;
  double burst_;
  double level_;
  /// Requests within about the last second.
  double used_ = 0;
  instant refilled_at_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUOTAS_QUOTA_FLOOR_H_
