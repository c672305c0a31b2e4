#ifndef LIBWIRE_HEADER_NAMES_H_
#define LIBWIRE_HEADER_NAMES_H_

#include <string_view>

namespace auburnfold {

inline constexpr std::string_view kHeaderPrefix = "Auburnfold-";
inline constexpr std::string_view kServiceHeader = "Auburnfold-Service";
inline constexpr std::string_view kClassHeader = "Auburnfold-Class";
inline constexpr std::string_view kTenantHeader = "Auburnfold-Tenant";
/// Time left in milliseconds, rounded down.
inline constexpr std::string_view kTimeoutHeader = "Auburnfold-Timeout-Ms";
inline constexpr std::string_view kRequestIdHeader = "Auburnfold-Request-Id";
/// ID of the forwarded request, if it differs from that of its root request.
inline constexpr std::string_view kOwnIdHeader = "Auburnfold-Own-Id";
/// Target latency in milliseconds; a later answer has less value.
inline constexpr std::string_view kObjectiveHeader = "Auburnfold-Objective-Ms";
/// Set if the `Idempotency-Key` of a forwarded request was not issued by a
/// node, so that only the endpoint interprets it.
inline constexpr std::string_view kForeignKeyHeader = "Auburnfold-Foreign-Key";
/// Identifies the work at the endpoint; the endpoint repeats it in its child
/// calls.
inline constexpr std::string_view kParentHeader = "Auburnfold-Parent";
/// Number of the client's attempt, from 1 to 65535.
inline constexpr std::string_view kAttemptHeader = "Auburnfold-Attempt";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";
inline constexpr std::string_view kResultHeader = "Auburnfold-Result";
/// Whether the request was executed: `not-run`, `unknown` or `ran`.
inline constexpr std::string_view kRanHeader = "Auburnfold-Ran";
inline constexpr std::string_view kRetryAfterMsHeader =
    "Auburnfold-Retry-After-Ms";
/// ID of the forwarding node, in hexadecimal.
inline constexpr std::string_view kFromHeader = "Auburnfold-From";
/// Incarnation of the node for which the request is meant.
inline constexpr std::string_view kExpectedRunHeader =
    "Auburnfold-Expected-Run";
/// Incarnation of the forwarding node and its number of the attempt, separated
/// by a hyphen.
inline constexpr std::string_view kSentHeader = "Auburnfold-Sent";
/// Retries that the call and its child calls may still spend.
inline constexpr std::string_view kAllowanceHeader = "Auburnfold-Allowance";
/// Number of hops from the entry of the call tree.
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
/// Priority of the root request, from 0 (lowest) to 7 (highest).
inline constexpr std::string_view kPriorityHeader = "Auburnfold-Priority";
inline constexpr std::string_view kPurposeHeader = "Auburnfold-Purpose";
/// Admission level for the class of the request.
inline constexpr std::string_view kLevelHeader = "Auburnfold-Level";
/// Retries that were granted with the request and are unspent.
inline constexpr std::string_view kAllowanceLeftHeader =
    "Auburnfold-Allowance-Left";
/// Number of requests that run or wait at the answering endpoint.
inline constexpr std::string_view kCapacityHeader = "Auburnfold-Capacity";
inline constexpr std::string_view kInFlightHeader = "Auburnfold-In-Flight";
/// Rate in requests per second at which an endpoint accepts requests from all
/// nodes together, as a decimal number.
inline constexpr std::string_view kRateLimitHeader = "Auburnfold-Rate-Limit";
/// Set if the endpoint takes no new requests and will end.
inline constexpr std::string_view kLeavingHeader = "Auburnfold-Leaving";
/// Name and run of the endpoint that the two headers above are about, between
/// nodes.
inline constexpr std::string_view kEndpointHeader = "Auburnfold-Endpoint";
inline constexpr std::string_view kEndpointRunHeader =
    "Auburnfold-Endpoint-Run";
/// Interval in milliseconds at which the receiver may send requests to the
/// endpoint, so that all senders together keep its rate limit.
inline constexpr std::string_view kSendIntervalHeader =
    "Auburnfold-Send-Interval-Ms";
/// Version of the routes that the sending node uses.
inline constexpr std::string_view kRoutesHeader = "Auburnfold-Routes";
/// Milliseconds, rounded up, between the last time at which it was certain that
/// no newer routes exist and the arrival of the request; may be negative.
inline constexpr std::string_view kRoutesAgeHeader = "Auburnfold-Routes-Age-Ms";
/// Checksum of the crashes of endpoints that the sending node knows of, in
/// hexadecimal.
inline constexpr std::string_view kCrashesHeader = "Auburnfold-Crashes";
/// Set if the endpoint started recently.
inline constexpr std::string_view kColdHeader = "Auburnfold-Cold";

/// Value of `Auburnfold-Result` for a complete answer.
inline constexpr std::string_view kCompleteResult = "complete";
/// Value of `Auburnfold-Purpose` for a request to issue an idempotency key.
inline constexpr std::string_view kIssueKeyPurpose = "issue-key";

}  // namespace auburnfold

#endif  // LIBWIRE_HEADER_NAMES_H_
