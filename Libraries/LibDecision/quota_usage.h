#ifndef LIBDECISION_QUOTA_USAGE_H_
#define LIBDECISION_QUOTA_USAGE_H_

#include <cstdint>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// How a node has used a tenant's quota since its last report.
struct quota_usage {
  tenant_name tenant;
  /// Requests admitted without a grant, because the quota was ample.
  std::uint32_t admitted = 0;
  /// Granted requests that were not used.
  std::uint32_t returned = 0;
  /// Requests for which the node asks in advance.
  std::uint32_t requested = 0;
  /// The node will report again within `kQuotaReportInterval`, even if there is
  /// nothing to report then.
  bool will_report_again = false;

  friend bool operator==(const quota_usage&, const quota_usage&) = default;
};

/// The longest interval between two reports of a node that announced the
/// second.
inline constexpr duration kQuotaReportInterval = std::chrono::seconds(1);

/// What the owner of a tenant's quota allows another node.
struct quota_grant {
  tenant_name tenant;
  /// Requests that the node may admit until the grant expires.
  std::uint32_t granted = 0;
  /// The node may admit further requests and report them afterwards.
  bool is_ample = false;
  /// When the next request is likely to be granted; zero if it is now.
  duration retry_after{};
  /// When the node is to report its usage again.
  duration report_after{};

  friend bool operator==(const quota_grant&, const quota_grant&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUOTA_USAGE_H_
