#ifndef LIBDECISION_IDS_H_
#define LIBDECISION_IDS_H_

#include <cstdint>
#include <string>

#include "LibDecision/strong_value.h"

namespace auburnfold {

/// A call that this node received and must answer; unique within the process.
using call_id = strong_value<struct call_tag, std::uint64_t>;
/// One try of a call at one endpoint; unique within the process.
using attempt_id = strong_value<struct attempt_tag, std::uint64_t>;
/// A request forwarded to this node for its own endpoint; unique within the
/// process.
using work_id = strong_value<struct work_tag, std::uint64_t>;
/// An open connection to a node or an endpoint; unique within the process.
using connection_id = strong_value<struct connection_tag, std::uint64_t>;
/// A request to the key-value service; unique within the process.
using store_call_id = strong_value<struct store_call_tag, std::uint64_t>;
/// A request to the administration API; unique within the process.
using admin_call_id = strong_value<struct admin_call_tag, std::uint64_t>;
/// Another node's question for this node's view; unique within the process.
using view_call_id = strong_value<struct view_call_tag, std::uint64_t>;
/// A key-value watch; unique within the process.
using watch_id = strong_value<struct watch_tag, std::uint64_t>;

/// A node, stable across restarts at the same address.
using node_id = strong_value<struct node_tag, std::uint64_t>;
/// One run of a process; a later run of the same node has a higher one.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;
/// The root request that a whole tree of calls belongs to.
using request_id = strong_value<struct request_tag, std::string>;

using service_name = strong_value<struct service_tag, std::string>;
using class_name = strong_value<struct class_tag, std::string>;
using tenant_name = strong_value<struct tenant_tag, std::string>;
/// An endpoint as it names itself.
using endpoint_name = strong_value<struct endpoint_tag, std::string>;
using domain_name = strong_value<struct domain_tag, std::string>;

/// The `Idempotency-Key` of a request, as the caller sent it.
using idempotency_key = strong_value<struct key_tag, std::string>;

/// The version of one table row; every accepted change adds one.
using row_version = strong_value<struct row_version_tag, std::uint64_t>;
/// Names one change of the table, chosen by its author; makes a retried write
/// recognizable.
using change_id = strong_value<struct change_tag, std::string>;
/// A lease of the key-value service; 0 means none.
using store_lease = strong_value<struct store_lease_tag, std::uint64_t>;
/// The revision that the key-value service gave a value; 0 means absent.
using store_revision = strong_value<struct store_revision_tag, std::uint64_t>;

/// Where a node listens. `host` is an IP number; ports are TCP.
struct node_address {
  std::string host;
  /// Forwarded requests from other nodes (HTTP).
  std::uint16_t peer_port = 0;
  /// Control messages from other nodes (nng).
  std::uint16_t control_port = 0;

  friend auto operator<=>(const node_address&, const node_address&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_IDS_H_
