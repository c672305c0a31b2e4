#include "LibDecision/counter.h"

namespace auburnfold {

std::string_view NameOf(counter which) {
  switch (which) {
    case counter::kAttempts:
      return "attempts";
    case counter::kRetries:
      return "retries";
    case counter::kRetriesDeniedByAllowance:
      return "retries_denied_by_allowance";
    case counter::kRetriesDeniedByNodeShare:
      return "retries_denied_by_node_share";
    case counter::kRetriesDeniedByPressure:
      return "retries_denied_by_pressure";
    case counter::kRefusedEarly:
      return "refused_early";
    case counter::kRefusedByLimit:
      return "refused_by_limit";
    case counter::kRefusedByRateLimit:
      return "refused_by_rate_limit";
    case counter::kRefusedByQuarantine:
      return "refused_by_quarantine";
    case counter::kDroppedFromQueue:
      return "dropped_from_queue";
    case counter::kWorkStarted:
      return "work_started";
    case counter::kEndpointCrashes:
      return "endpoint_crashes";
    case counter::kUnreadableRateLimits:
      return "unreadable_rate_limits";
    case counter::kCancelledDown:
      return "cancelled_down";
    case counter::kCallsDeferred:
      return "calls_deferred";
    case counter::kRequestsAbandoned:
      return "requests_abandoned";
    case counter::kLateAnswers:
      return "late_answers";
    case counter::kEndpointsEjected:
      return "endpoints_ejected";
    case counter::kConnectionsReplaced:
      return "connections_replaced";
    case counter::kKeysIssued:
      return "keys_issued";
    case counter::kKeysReplayed:
      return "keys_replayed";
    case counter::kKeysRefused:
      return "keys_refused";
    case counter::kKeysForgotten:
      return "keys_forgotten";
    case counter::kMembersFoundDead:
      return "members_found_dead";
    case counter::kMemberChanges:
      return "member_changes";
    case counter::kRoutesTaken:
      return "routes_taken";
    case counter::kRoutesRejected:
      return "routes_rejected";
    case counter::kOldRecordsIgnored:
      return "old_records_ignored";
    case counter::kOldRowsIgnored:
      return "old_rows_ignored";
    case counter::kRowsTaken:
      return "rows_taken";
    case counter::kRowsRestored:
      return "rows_restored";
    case counter::kStoreCalls:
      return "store_calls";
    case counter::kStoreFailures:
      return "store_failures";
    case counter::kMessagesSent:
      return "messages_sent";
    case counter::kEditsAccepted:
      return "edits_accepted";
    case counter::kEditsRefused:
      return "edits_refused";
  }
  return "unknown";
}

}  // namespace auburnfold
