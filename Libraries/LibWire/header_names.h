#ifndef LIBWIRE_HEADER_NAMES_H_
#define LIBWIRE_HEADER_NAMES_H_

#include <string_view>

namespace auburnfold {

inline constexpr std::string_view kHeaderPrefix = "Auburnfold-";
inline constexpr std::string_view kServiceHeader = "Auburnfold-Service";
inline constexpr std::string_view kClassHeader = "Auburnfold-Class";
inline constexpr std::string_view kTenantHeader = "Auburnfold-Tenant";
inline constexpr std::string_view kTimeoutHeader = "Auburnfold-Timeout-Ms";
inline constexpr std::string_view kRequestIdHeader = "Auburnfold-Request-Id";
/// ID of the forwarded request, if it differs from that of its root request.
inline constexpr std::string_view kOwnIdHeader = "Auburnfold-Own-Id";
/// Target latency in milliseconds; a later answer has less value.
inline constexpr std::string_view kObjectiveHeader = "Auburnfold-Objective-Ms";
/// Set if the `Idempotency-Key` of a forwarded request was not issued by a
/// node, so that only the endpoint interprets it.
inline constexpr std::string_view kForeignKeyHeader = "Auburnfold-Foreign-Key";
inline constexpr std::string_view kParentHeader = "Auburnfold-Parent";
inline constexpr std::string_view kAttemptHeader = "Auburnfold-Attempt";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kResultHeader = "Auburnfold-Result";
inline constexpr std::string_view kRanHeader = "Auburnfold-Ran";
inline constexpr std::string_view kRetryAfterMsHeader =
    "Auburnfold-Retry-After-Ms";
inline constexpr std::string_view kFromHeader = "Auburnfold-From";
inline constexpr std::string_view kExpectedRunHeader =
    "Auburnfold-Expected-Run";
inline constexpr std::string_view kAllowanceHeader = "Auburnfold-Allowance";
inline constexpr std::string_view kDepthHeader = "Auburnfold-Depth";
/// Set if an earlier attempt may have been executed.
inline constexpr std::string_view kRepeatHeader = "Auburnfold-Repeat";
/// Number of child calls of the same work that have been answered before.
inline constexpr std::string_view kSiblingsHeader = "Auburnfold-Siblings";
/// Set if the caller may retry the request.
inline constexpr std::string_view kRetryGrantedHeader =
    "Auburnfold-Retry-Granted";
/// Set if a child call for the request failed.
inline constexpr std::string_view kFailedBelowHeader =
    "Auburnfold-Failed-Below";
inline constexpr std::string_view kPriorityHeader = "Auburnfold-Priority";
inline constexpr std::string_view kPurposeHeader = "Auburnfold-Purpose";
inline constexpr std::string_view kLevelHeader = "Auburnfold-Level";
inline constexpr std::string_view kAllowanceLeftHeader =
    "Auburnfold-Allowance-Left";
inline constexpr std::string_view kInFlightHeader = "Auburnfold-In-Flight";
inline constexpr std::string_view kColdHeader = "Auburnfold-Cold";

/// Value of `Auburnfold-Result` for a complete answer.
inline constexpr std::string_view kCompleteResult = "complete";
/// Value of `Auburnfold-Purpose` for a request to issue an idempotency key.
inline constexpr std::string_view kIssueKeyPurpose = "issue-key";

}  // namespace auburnfold

#endif  // LIBWIRE_HEADER_NAMES_H_
