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
  kRetriesDeniedByNodeBudget,
  kRetriesDeniedByPressure,
  kRefusedEarly,
  kRefusedByLimit,
  kDroppedFromQueue,
  kCancelledDown,
  kLateAnswers,
  kEndpointsEjected,
  kConnectionsReplaced,
  kKeysIssued,
  kKeysReplayed,
  kKeysRefused,
  kKeysForgotten,
  kMembersFoundDead,
  kMemberChanges,
  kRoutesTaken,
  kRoutesRejected,
  kOldRecordsIgnored,
  kOldRowsIgnored,
  kRowsTaken,
  kRowsRestored,
  kStoreCalls,
  kStoreFailures,
  kMessagesSent,
  kEditsAccepted,
  kEditsRefused,
};

inline constexpr std::size_t kCounterCount =
    static_cast<std::size_t>(counter::kEditsRefused) + 1;

/// The metric's name in snake case, without prefix and suffix.
std::string_view NameOf(counter which);

}  // namespace auburnfold

#endif  // LIBDECISION_COUNTER_H_
