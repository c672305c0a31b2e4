#ifndef LIBDECISION_DECISION_RECORD_H_
#define LIBDECISION_DECISION_RECORD_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "LibDecision/Retries/retry_decision.h"
#include "LibDecision/Routes/route.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// What was decided about a request, or what this node now believes.
enum class decision_kind : std::uint8_t {
  // About a request, at the node that it came to.
  kCallRouted,     ///< Its route, service and deadline are settled.
  kCallRefused,    ///< It ends with an error of this node.
  kCallAnswered,   ///< It ends with the endpoint's answer.
  kCallCancelled,  ///< Its caller has gone.
  kAttemptSent,    ///< It goes to the node beside an endpoint.
  kAttemptFailed,  ///< That node gave no whole answer.
  // About a request, at the node beside the endpoint.
  kWorkQueued,    ///< It waits for room at the endpoint.
  kWorkStarted,   ///< It goes to the endpoint.
  kWorkRefused,   ///< It ends with an error of this node.
  kWorkAnswered,  ///< It ends with the endpoint's answer.
  // About what the node believes.
  kMemberChanged,      ///< Another node, or the endpoint beside it.
  kMemberLapsed,       ///< A record has gone though its node did not leave.
  kEndpointChanged,    ///< The endpoint beside this node.
  kEndpointEjected,    ///< An endpoint gets no requests for a while.
  kRoutesTaken,        ///< Routes are in force.
  kRoutesRejected,     ///< Routes that make no sense are left out.
  kConnectionDropped,  ///< A connection has gone silent.
  kStoreLost,          ///< The key-value service does not answer.
  kStoreRegained,      ///< The key-value service answers again.
  kStarted,            ///< The node begins.
  kStopping,           ///< The node was asked to stop.
  kStopped,            ///< The node has ended all that it had.
};

inline constexpr std::size_t kDecisionKindCount =
    static_cast<std::size_t>(decision_kind::kStopped) + 1;

/// The name of `kind` in log lines.
std::string_view NameOf(decision_kind kind);

/// Whether `kind` is about one request that goes its usual way. Such records
/// are many, and a log may keep only those of a sample of requests.
bool IsRoutine(decision_kind kind);

/// One decision with what it was made from. Unset fields do not apply.
struct decision_record {
  decision_kind kind = decision_kind::kStarted;
  /// The request's own id, and that of the request it was made for.
  request_id request;
  request_id root;
  service_name service;
  class_name request_class;
  endpoint_name endpoint;
  std::optional<node_id> node;
  std::optional<incarnation> run;
  std::optional<error_kind> error;
  std::optional<run_state> ran;
  /// Why the last attempt was tried again, or was not.
  std::optional<retry_decision> retry;
  std::optional<route_version> routes;
  /// How long ago what the decision rests on was learned.
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
  std::optional<std::uint32_t> candidates;
  std::optional<std::uint32_t> state;
};

}  // namespace auburnfold

#endif  // LIBDECISION_DECISION_RECORD_H_
