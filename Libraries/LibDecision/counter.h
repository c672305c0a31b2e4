#ifndef LIBDECISION_COUNTER_H_
#define LIBDECISION_COUNTER_H_

#include <cstdint>
#include <string_view>

namespace auburnfold {

/// Counters of the decision library; each is exported as one metric.
enum class counter : std::uint8_t {
  kAttempts,
  kRetries,
  kRetriesDeniedByAllowance,
  kRetriesDeniedByNodeShare,  ///< Denied by the node's retry budget.
  kRetriesDeniedByPressure,
  kRefusedEarly,        ///< Calls refused since a dependency would refuse them.
  kRefusedByLimit,      ///< Work refused since a limit or the queue was full.
  kRefusedByRateLimit,  ///< Work refused since the endpoint's rate was used up.
  kRefusedByQuota,      ///< Calls refused since a tenant's quota was used up.
  kRefusedByQuarantine,   ///< Refused since the request crashes endpoints.
  kRefusedByApiKey,       ///< Calls refused since their API key is unknown.
  kRefusedByKeyValidity,  ///< Calls refused since their API key may have been
                          ///< removed.
  kKeyConfirmations,      ///< Reads of the routes that confirm API keys.
  kDroppedFromQueue,      ///< Work that could not start in time.
  kWorkStarted,           ///< Work handed over to the local endpoint.
  kEndpointCrashes,       ///< Ends of the local endpoint without notice.
  kUnreadableRateLimits,  ///< Answers whose rate limit is not a number.
  kCancelledDown,         ///< Child calls cancelled since their parent ended.
  kCallsDeferred,         ///< Calls that wait for earlier ones.
  kRequestsAbandoned,     ///< Requests read after their sender had left.
  kLateAnswers,  ///< Answers to attempts or work that had already ended.
  kEndpointsEjected,
  kConnectionsReplaced,
  kAttemptQueries,        ///< Questions to other nodes about slow attempts.
  kRequestsNeverArrived,  ///< Attempts that did not reach the other node.
  kAnswersLost,           ///< Attempts whose answer was sent, but not received.
  kWithdrawnAttempts,     ///< Refused since the sender was told that they had
                          ///< never arrived.
  kKeysIssued,
  kKeysReplayed,
  kKeysRefused,
  kKeysForgotten,     ///< Expired keys that had been used.
  kMembersFoundDead,  ///< Declared dead, or their record was removed.
  kMemberChanges,
  kRoutesTaken,  ///< Route configurations applied.
  kRoutesRejected,
  kOldRecordsIgnored,  ///< Member records that were not newer.
  kOldRowsIgnored,     ///< Table rows older than the local copy.
  kRowsTaken,          ///< Table rows applied.
  kRowsRestored,
  kStoreCalls,
  kStoreFailures,
  kMessagesSent,
  kQuotaAdmitted,         ///< Calls of tenants with a limited quota.
  kQuotaReportsSent,      ///< Reports of used quotas to their owners.
  kQuotaReportsReceived,  ///< Such reports of other nodes.
  kQuotaFloorsUsed,       ///< Times that a quota's owner was lost and its equal
                          ///< part was used instead.
  kEditsAccepted,
  kEditsRefused,
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(counter::kEditsRefused) + 1;

/// The metric's name in snake case, without prefix and suffix.
std::string_view NameOf(counter which);

}  // namespace auburnfold

#endif  // LIBDECISION_COUNTER_H_
