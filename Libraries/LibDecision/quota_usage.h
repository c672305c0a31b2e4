#ifndef LIBDECISION_QUOTA_USAGE_H_
#define LIBDECISION_QUOTA_USAGE_H_

#include <cstdint>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Number of requests that a node has admitted on behalf of a tenant.
struct quota_usage {
  tenant_name tenant;
  /// Requests admitted since the last report, including those that were granted
  /// in advance.
  std::uint32_t admitted = 0;
  /// Requests for which the node asks in advance.
  std::uint32_t requested = 0;
};

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
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUOTA_USAGE_H_
