#ifndef LIBRUNTIME_CONTROL_QUOTA_CODEC_H_
#define LIBRUNTIME_CONTROL_QUOTA_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/quota_usage.h"

namespace auburnfold {

/// A node's report to the owner of quotas.
struct quota_report {
  node_id from;
  std::vector<quota_usage> usage;
};

/// Encodes a report and its answer as JSON.
std::string EncodeQuotaReport(const quota_report& report);
std::string EncodeQuotaGrants(const std::vector<quota_grant>& grants);

/// Parse what the functions above write; nothing if it is not valid or holds
/// too many tenants. Fields that are unknown are ignored.
std::optional<quota_report> DecodeQuotaReport(std::string_view text);
std::optional<std::vector<quota_grant>> DecodeQuotaGrants(
    std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_QUOTA_CODEC_H_
