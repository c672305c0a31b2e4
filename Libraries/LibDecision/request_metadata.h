#ifndef LIBDECISION_REQUEST_METADATA_H_
#define LIBDECISION_REQUEST_METADATA_H_

#include <cstdint>
#include <optional>

#include "LibDecision/Routes/route.h"
#include "LibDecision/endpoint_notice.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// What the receiving node is asked to do with a request.
enum class request_purpose : std::uint8_t {
  kExecute,
  kIssueKey,  ///< Issue an idempotency key that names the node as its home.
};

/// Metadata that is passed on with a request from hop to hop.
struct request_metadata {
  request_id root;
  service_name service;
  class_name request_class;
  tenant_name tenant;
  /// The request's own id, if it differs from the root's.
  request_id own_id;
  request_digest digest;
  /// Time until the deadline, counted from the event's `now`. A later answer is
  /// useless.
  duration time_left{};
  /// Latency objective. An answer after it is still useful, but worth less;
  /// zero if unspecified.
  duration objective{};
  /// Retries that this call and its child calls may still spend.
  std::uint16_t allowance = 0;
  /// 1 for the client's first attempt, higher for its retries.
  std::uint16_t client_attempt = 1;
  /// An earlier attempt of this request, or of a request above it in the call
  /// tree, may have been executed: the load that it causes comes on top of what
  /// callers asked for.
  bool is_repeat = false;
  /// Number of calls of the same work that had a useful answer before this one
  /// began.
  std::uint16_t answered_siblings = 0;
  /// Number of hops from the entry of the call tree; 0 at the entry.
  std::uint16_t depth = 0;
  /// Priority of the root request, from 0 (lowest) to 7 (highest). Unset at the
  /// entry, where the table row determines it.
  std::optional<std::uint8_t> priority;
  std::optional<idempotency_key> key;
  request_purpose purpose = request_purpose::kExecute;
  /// Version of the routes that the sender uses; unset if it has none.
  std::optional<route_version> routes;
  /// Checksum of the crashes that the sender knows of; 0 if there are none.
  std::uint64_t crash_checksum = 0;
  /// What the sender last heard about the receiver's endpoint; unset if the
  /// endpoint names no limit and is not leaving.
  std::optional<endpoint_notice> notice;
};

}  // namespace auburnfold

#endif  // LIBDECISION_REQUEST_METADATA_H_
