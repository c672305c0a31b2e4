#ifndef LIBDECISION_IDS_H_
#define LIBDECISION_IDS_H_

#include <cstdint>
#include <string>

#include "LibDecision/strong_value.h"

namespace auburnfold {

/// A call that this node received and has to answer; unique within the process.
using call_id = strong_value<struct call_tag, std::uint64_t>;
/// One attempt of a call at one endpoint; unique within the process.
using attempt_id = strong_value<struct attempt_tag, std::uint64_t>;
/// A request that another node forwarded for the local endpoint; unique within
/// the process.
using work_id = strong_value<struct work_tag, std::uint64_t>;
/// An open connection to a node or an endpoint; unique within the process.
using connection_id = strong_value<struct connection_tag, std::uint64_t>;
/// A request to the key-value store; unique within the process.
using store_call_id = strong_value<struct store_call_tag, std::uint64_t>;
/// A request to the administration API; unique within the process.
using admin_call_id = strong_value<struct admin_call_tag, std::uint64_t>;
/// Another node's request for this node's view; unique within the process.
using view_call_id = strong_value<struct view_call_tag, std::uint64_t>;
/// A report of the use of quotas, at either end; unique within the process.
using quota_call_id = strong_value<struct quota_call_tag, std::uint64_t>;
/// A report of the local endpoint; unique within the process.
using report_id = strong_value<struct report_tag, std::uint64_t>;
/// A question about attempts, at either end; unique within the process.
using attempt_query_id = strong_value<struct attempt_query_tag, std::uint64_t>;
/// A watch of the key-value store; unique within the process.
using watch_id = strong_value<struct watch_tag, std::uint64_t>;

/// A node, stable across restarts at the same address.
using node_id = strong_value<struct node_tag, std::uint64_t>;
/// Identifies one run of a process. A later run of the same node has a higher
/// incarnation.
using incarnation = strong_value<struct incarnation_tag, std::uint64_t>;
/// Identifies a request. All calls of a call tree share the id of their root
/// request.
using request_id = strong_value<struct request_tag, std::string>;

using service_name = strong_value<struct service_tag, std::string>;
/// A class of requests to a service, with settings of its own.
using class_name = strong_value<struct class_tag, std::string>;
using tenant_name = strong_value<struct tenant_tag, std::string>;
/// A secret that a caller presents and that belongs to one tenant. It must not
/// leave the node: neither to other nodes and endpoints nor into logs.
using api_key = strong_value<struct api_key_tag, std::string>;
/// An endpoint's name for itself.
using endpoint_name = strong_value<struct endpoint_tag, std::string>;
/// A failure domain.
using domain_name = strong_value<struct domain_tag, std::string>;

/// The `Idempotency-Key` header of a request, as sent by the caller.
using idempotency_key = strong_value<struct key_tag, std::string>;

/// Hash of what makes two requests the same one: method, path with query, body,
/// where it goes and who sends it. Equal requests have the same digest at every
/// node; 0 means unknown.
using request_digest = strong_value<struct digest_tag, std::uint64_t>;

/// Identifies one crash of an endpoint; unique over all nodes.
using crash_id = strong_value<struct crash_tag, std::uint64_t>;

/// Version of the route configuration; later versions are higher.
using route_version = strong_value<struct route_version_tag, std::uint64_t>;
/// Version of a table row; each accepted change increments it by one.
using row_version = strong_value<struct row_version_tag, std::uint64_t>;
/// Identifies one change of the table. The author chooses it, so that a retried
/// write is recognized.
using change_id = strong_value<struct change_tag, std::string>;
/// A lease of the key-value store; 0 means none.
using store_lease = strong_value<struct store_lease_tag, std::uint64_t>;
/// Rises each time that the key-value store has lost acknowledged writes and
/// gives out revisions again; 0 if the store names none.
using store_era = strong_value<struct store_era_tag, std::uint64_t>;
/// The revision of a value in the key-value store; 0 means that the key is
/// absent.
using store_revision = strong_value<struct store_revision_tag, std::uint64_t>;

/// A number of requests per second.
using request_rate = strong_value<struct request_rate_tag, double>;

/// Where a node listens. `host` is an IP address; the ports are TCP ports.
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
