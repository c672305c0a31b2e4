#ifndef LIBDECISION_DECISION_RECORD_H_
#define LIBDECISION_DECISION_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/Retries/retry_decision.h"
#include "LibDecision/Routes/route.h"
#include "LibDecision/Routes/route_reading.h"
#include "LibDecision/attempt_report.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Kinds of decision: about one request, or about the state of the cluster.
enum class decision_kind : std::uint8_t {
  // Calls, at the node that received them from the caller.
  kCallRouted,        ///< Route, service and deadline are determined.
  kCallRefused,       ///< Ended with an error from this node.
  kCallAnswered,      ///< Ended with the endpoint's answer.
  kCallCancelled,     ///< The caller closed its connection.
  kQuotaRefused,      ///< Refused because of its tenant's quota.
  kAttemptSent,       ///< Sent to the node of an endpoint.
  kAttemptFailed,     ///< That node gave no complete answer.
  kRequestAbandoned,  ///< Read after its sender had left, and not handled.
  // Either side of a call.
  kAnswerUndelivered,  ///< The connection closes before its peer has received
                       ///< the whole answer.
  // Work, at the node whose local endpoint runs it.
  kWorkQueued,    ///< Waits until the endpoint has capacity.
  kWorkStarted,   ///< Sent to the endpoint.
  kWorkRefused,   ///< Ended with an error from this node.
  kWorkAnswered,  ///< Ended with the endpoint's answer.
  // The node's state and its view of the cluster.
  kMemberChanged,    ///< The record of another node changed.
  kMemberLapsed,     ///< A record's lease expired, but the node did not leave.
  kEndpointChanged,  ///< The state of the local endpoint changed.
  kEndpointCrashed,  ///< The local endpoint ended while requests were at work.
  kRequestQuarantined,     ///< Requests with this digest crash endpoints.
  kRequestReleased,        ///< Other requests explain the crashes, or it was
                           ///< answered.
  kEndpointReportIgnored,  ///< A report about the local endpoint had no effect.
  kEndpointReportDeferred,  ///< A first report that may have been sent before
                            ///< the endpoint left does not make it ready.
  kRateLimitChanged,        ///< The local endpoint names another rate limit.
  kRateLimitEnded,       ///< The local endpoint no longer names a rate limit.
  kRateLimitUnreadable,  ///< It names one that is not a number.
  kEndpointEjected,      ///< An endpoint is temporarily excluded from routing.
  kRoutesTaken,          ///< New routes are in effect.
  kRoutesIgnored,        ///< Routes that were read are not newer.
  kRoutesRejected,       ///< Invalid routes are ignored.
  kConfigFieldUnread,    ///< A part of the routes in effect is not understood.
  kConnectionDropped,    ///< A silent connection is closed.
  kAttemptQueried,       ///< The receiver of an attempt was asked about it.
  kStoreLost,            ///< The key-value store is unavailable.
  kStoreEraChanged,      ///< The key-value store has lost acknowledged writes.
  kStoreRegained,        ///< The key-value store is available again.
  kStoreEntryIgnored,    ///< An entry of the key-value store cannot be read.
  kKeysOutdated,         ///< API keys may have been removed too long ago.
  kKeysConfirmed,        ///< API keys are certainly in effect again.
  kQuotaOwnerChanged,    ///< Another node owns a tenant's quota.
  kQuotaOwnerLost,       ///< The owner of a quota does not answer, or does not
                         ///< consider itself the owner.
  kLoopDelayed,          ///< The node handles events late.
  kStarted,              ///< The node has started.
  kStopping,             ///< The node is asked to stop.
  kStopped,              ///< All requests of the node have ended.
};

inline constexpr std::size_t kDecisionKindCount =
    static_cast<std::size_t>(decision_kind::kStopped) + 1;

/// The name of `kind` in log lines.
std::string_view NameOf(decision_kind kind);

/// Whether `kind` occurs in the normal course of a request. Such records are
/// frequent, so a log may keep them only for a sample of requests.
bool IsRoutine(decision_kind kind);

/// What a decision about a tenant's quota was based on.
enum class quota_basis : std::uint8_t {
  kOwner,      ///< What the owner of the quota granted.
  kEqualPart,  ///< The owner is lost: an equal part for each node.
};

/// The name of `basis` in log lines.
std::string_view NameOf(quota_basis basis);

/// An entry of the key-value store, or a report of the endpoint, that another
/// writer left and that is not used.
struct ignored_entry {
  /// Its key or path, printable and shortened; empty if it cannot be read.
  std::string key;
  /// The field that cannot be read, or what it must be; a literal.
  std::string_view field;
};

/// A decision and the inputs that it was based on. Fields that do not apply are
/// unset.
struct decision_record {
  decision_kind kind = decision_kind::kStarted;
  /// The id of the request, and that of the root request it belongs to.
  request_id request;
  request_id root;
  service_name service;
  class_name request_class;
  std::optional<request_digest> digest;
  endpoint_name endpoint;
  std::optional<node_id> node;
  std::optional<incarnation> run;
  std::optional<error_kind> error;
  std::optional<execution_state> execution;
  /// Why the last attempt was or was not retried.
  std::optional<retry_decision> retry;
  std::optional<route_version> routes;
  /// How a value of the route key was read.
  std::optional<route_source> source;
  std::optional<store_revision> revision;
  /// The era of the key-value store.
  std::optional<store_era> era;
  /// Time since the failed attempt was started, or since a value was read.
  std::optional<duration> age;
  std::optional<duration> time_left;
  std::optional<duration> waited;
  std::optional<duration> retry_after;
  std::optional<std::uint32_t> attempt;
  std::optional<std::uint32_t> priority;
  /// The admission level that the request had to pass.
  std::optional<std::uint32_t> level;
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> queued;
  std::optional<std::uint32_t> limit;
  /// The rate limit that the local endpoint names.
  std::optional<request_rate> rate;
  std::optional<std::uint32_t> candidates;
  /// What the other node said about an attempt.
  std::optional<attempt_state> evidence;
  /// The node was asked to stop before.
  bool is_stopping = false;
  /// The `endpoint_state` of the local endpoint, as a number.
  std::optional<std::uint32_t> state;
  /// The part of the configuration that is not understood.
  std::optional<unread_field> config;
  std::optional<ignored_entry> entry;
  tenant_name tenant;
  std::optional<quota_basis> basis;
};

}  // namespace auburnfold

#endif  // LIBDECISION_DECISION_RECORD_H_
