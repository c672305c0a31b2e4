#include "LibDecision/decision_record.h"

namespace auburnfold {

std::string_view NameOf(decision_kind kind) {
  switch (kind) {
    case decision_kind::kCallRouted:
      return "call_routed";
    case decision_kind::kCallRefused:
      return "call_refused";
    case decision_kind::kCallAnswered:
      return "call_answered";
    case decision_kind::kCallCancelled:
      return "call_cancelled";
    case decision_kind::kQuotaRefused:
      return "quota_refused";
    case decision_kind::kAttemptSent:
      return "attempt_sent";
    case decision_kind::kAttemptFailed:
      return "attempt_failed";
    case decision_kind::kRequestAbandoned:
      return "request_abandoned";
    case decision_kind::kAnswerUndelivered:
      return "answer_undelivered";
    case decision_kind::kWorkQueued:
      return "work_queued";
    case decision_kind::kWorkStarted:
      return "work_started";
    case decision_kind::kWorkRefused:
      return "work_refused";
    case decision_kind::kWorkAnswered:
      return "work_answered";
    case decision_kind::kMemberChanged:
      return "member_changed";
    case decision_kind::kMemberLapsed:
      return "member_lapsed";
    case decision_kind::kEndpointChanged:
      return "endpoint_changed";
    case decision_kind::kEndpointCrashed:
      return "endpoint_crashed";
    case decision_kind::kRequestQuarantined:
      return "request_quarantined";
    case decision_kind::kRequestReleased:
      return "request_released";
    case decision_kind::kEndpointReportIgnored:
      return "endpoint_report_ignored";
    case decision_kind::kEndpointReportDeferred:
      return "endpoint_report_deferred";
    case decision_kind::kRateLimitChanged:
      return "rate_limit_changed";
    case decision_kind::kRateLimitEnded:
      return "rate_limit_ended";
    case decision_kind::kRateLimitUnreadable:
      return "rate_limit_unreadable";
    case decision_kind::kEndpointEjected:
      return "endpoint_ejected";
    case decision_kind::kRoutesTaken:
      return "routes_taken";
    case decision_kind::kRoutesIgnored:
      return "routes_ignored";
    case decision_kind::kRoutesRejected:
      return "routes_rejected";
    case decision_kind::kConfigFieldUnread:
      return "config_field_unread";
    case decision_kind::kConnectionDropped:
      return "connection_dropped";
    case decision_kind::kAttemptQueried:
      return "attempt_queried";
    case decision_kind::kStoreLost:
      return "store_lost";
    case decision_kind::kStoreEraChanged:
      return "store_era_changed";
    case decision_kind::kStoreRegained:
      return "store_regained";
    case decision_kind::kStoreEntryIgnored:
      return "store_entry_ignored";
    case decision_kind::kKeysOutdated:
      return "keys_outdated";
    case decision_kind::kKeysConfirmed:
      return "keys_confirmed";
    case decision_kind::kQuotaOwnerChanged:
      return "quota_owner_changed";
    case decision_kind::kQuotaOwnerLost:
      return "quota_owner_lost";
    case decision_kind::kLoopDelayed:
      return "loop_delayed";
    case decision_kind::kStarted:
      return "started";
    case decision_kind::kStopping:
      return "stopping";
    case decision_kind::kStopped:
      return "stopped";
  }
  return "unknown";
}

std::string_view NameOf(quota_basis basis) {
  switch (basis) {
    case quota_basis::kOwner:
      return "owner";
    case quota_basis::kEqualPart:
      return "equal-part";
  }
  return "unknown";
}

bool IsRoutine(decision_kind kind) {
  switch (kind) {
    case decision_kind::kCallRouted:
    case decision_kind::kCallAnswered:
    case decision_kind::kCallCancelled:
    case decision_kind::kAttemptSent:
    case decision_kind::kWorkQueued:
    case decision_kind::kWorkStarted:
    case decision_kind::kWorkAnswered:
      return true;
    case decision_kind::kCallRefused:
    case decision_kind::kQuotaRefused:
    case decision_kind::kAttemptFailed:
    case decision_kind::kRequestAbandoned:
    case decision_kind::kAnswerUndelivered:
    case decision_kind::kWorkRefused:
    case decision_kind::kMemberChanged:
    case decision_kind::kMemberLapsed:
    case decision_kind::kEndpointChanged:
    case decision_kind::kEndpointCrashed:
    case decision_kind::kRequestQuarantined:
    case decision_kind::kRequestReleased:
    case decision_kind::kEndpointReportIgnored:
    case decision_kind::kRateLimitChanged:
    case decision_kind::kRateLimitEnded:
    case decision_kind::kRateLimitUnreadable:
    case decision_kind::kEndpointEjected:
    case decision_kind::kRoutesTaken:
    case decision_kind::kRoutesIgnored:
    case decision_kind::kRoutesRejected:
    case decision_kind::kConfigFieldUnread:
    case decision_kind::kConnectionDropped:
    case decision_kind::kAttemptQueried:
    case decision_kind::kStoreLost:
    case decision_kind::kStoreEraChanged:
    case decision_kind::kStoreRegained:
    case decision_kind::kStoreEntryIgnored:
    case decision_kind::kKeysOutdated:
    case decision_kind::kKeysConfirmed:
    case decision_kind::kQuotaOwnerChanged:
    case decision_kind::kQuotaOwnerLost:
    case decision_kind::kLoopDelayed:
    case decision_kind::kStarted:
    case decision_kind::kStopping:
    case decision_kind::kStopped:
      return false;
  }
  return false;
}

}  // namespace auburnfold
