#ifndef LIBDECISION_MEMBER_RECORD_H_
#define LIBDECISION_MEMBER_RECORD_H_

#include <cstdint>
#include <optional>

#include "LibDecision/endpoint_leave.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// State of a node's endpoint, as announced by the node.
enum class member_state : std::uint8_t {
  kReady,
  kLeaving,  ///< Finishes running requests and takes no new ones.
  kGone,     ///< Left, or was declared dead.
};

/// What a node knew for certain: in this era of the key-value store, when it
/// wrote so, no routes newer than this version existed.
struct proven_routes {
  store_era era;
  route_version version;

  friend bool operator==(const proven_routes&, const proven_routes&) = default;
};

/// A member of the cluster: a node and its endpoint. Of two records of a node,
/// the one with the higher (incarnation, version) is newer; if they are equal,
/// the one with the later state.
struct member_record {
  node_id node;
  incarnation run;
  std::uint64_t version = 0;
  member_state state = member_state::kReady;
  node_address address;
  domain_name domain;
  /// Service of the endpoint; empty until an endpoint has reported to the node.
  service_name service;
  /// Number of requests that the endpoint runs at once; 0 if unspecified.
  std::uint32_t slots = 0;
  /// Kept for the node's next run, which finds it in the registry.
  std::optional<endpoint_leave> leave;
  /// For nodes that have just started, which cannot tell an older copy of the
  /// key-value store from the latest one.
  std::optional<proven_routes> routes;

  friend bool operator==(const member_record&, const member_record&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBER_RECORD_H_
