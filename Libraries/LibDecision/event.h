#ifndef LIBDECISION_EVENT_H_
#define LIBDECISION_EVENT_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibDecision/Routes/route.h"
#include "LibDecision/Routes/route_reading.h"
#include "LibDecision/admin_call.h"
#include "LibDecision/attempt_report.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"
#include "LibDecision/peer_message.h"
#include "LibDecision/peer_view.h"
#include "LibDecision/quota_usage.h"
#include "LibDecision/request_metadata.h"
#include "LibDecision/store_call.h"

namespace auburnfold {

/// The first event of every incarnation.
struct node_started {
  node_id node;
  incarnation run;
  node_address address;
  domain_name domain;
  /// Addresses through which the node joins while the key-value store is
  /// unavailable.
  std::vector<node_address> seeds;
  /// Service of the local endpoint; empty if it is known only from the
  /// endpoint's reports.
  service_name service;
};

/// The process was asked to stop: running requests are finished, new ones are
/// refused.
struct stop_requested {};

/// The instant of the last `wake_at` was reached.
struct time_passed {};

/// The event loop has handled something `delay` after it was ready. Measured
/// several times a second.
struct loop_delay_measured {
  duration delay{};
};

/// The host and path of a request whose service is determined by the routes.
struct route_target {
  std::string host;
  std::string path;
};

/// A caller, or the local endpoint, calls a service.
struct call_arrived {
  call_id call;
  /// Set if the caller names no service; the routes then determine it.
  std::optional<route_target> target;
  /// The work at the local endpoint that the call was made for. Unset for a
  /// root request, and if this node does not know the parent.
  std::optional<work_id> parent;
  /// The caller named a parent, whether or not this node knows it.
  bool has_parent = false;
  /// The call may come from the local endpoint, which did not say for which
  /// work.
  bool may_have_parent = false;
  /// The API key that the caller presented.
  std::optional<api_key> key;
  /// Earlier requests on the caller's connection are not answered yet.
  bool is_pipelined = false;
  /// The last of those requests that was reported as a call.
  std::optional<call_id> behind;
  /// Bytes that may still be reserved for answers that wait for those to
  /// earlier requests.
  std::uint64_t answer_room = std::numeric_limits<std::uint64_t>::max();
  /// Time since the request was read. The deadline counts from then.
  duration waited{};
  request_metadata metadata;
};

/// The caller of `call` has closed its connection.
struct call_cancelled {
  call_id call;
};

/// A call, or a request that another node forwarded, was read after its sender
/// had closed the connection.
struct request_abandoned {
  request_metadata metadata;
};

/// `attempt` is about to be written to `connection`. If the effects of this
/// event cancel the attempt, nothing is written.
struct attempt_sent {
  attempt_id attempt;
  connection_id connection;
};

/// An attempt ended.
struct attempt_finished {
  attempt_id attempt;
  outcome result;
};

/// Another node forwarded a request for the local endpoint.
struct work_arrived {
  work_id work;
  node_id from;
  /// Where `from` listens for other nodes; `host` is empty if unknown.
  node_address from_address;
  request_metadata metadata;
  /// The incarnation of this node as known to the sender.
  incarnation expected_run;
  /// Unset if the sender does not number its attempts.
  std::optional<attempt_key> attempt;
};

/// The forwarding node has cancelled the request.
struct work_cancelled {
  work_id work;
};

/// `work` is about to be written to the endpoint. If the effects of this event
/// cancel the work, nothing is written.
struct work_sent {
  work_id work;
  connection_id connection;
};

/// The local endpoint has answered `work`, or has failed to.
struct work_finished {
  work_id work;
  outcome result;
};

/// State of an endpoint, as reported by itself.
enum class endpoint_state : std::uint8_t {
  kReady,
  kLeaving,
  kGone,  ///< Deregistered: this incarnation takes no new work, even if a
          ///< report says otherwise.
};

/// The local endpoint sent a report, its first or a later one. A report may be
/// outdated or wrong.
struct endpoint_reported {
  service_name service;
  endpoint_state state = endpoint_state::kReady;
  /// Incarnation of the endpoint; a change means that it was replaced.
  incarnation run;
  /// Fraction of its slots that the endpoint reports as in use, 0 to 1.
  double load = 0;
  bool is_healthy = true;
  /// Maximum number of connections that the endpoint accepts; 0 if unspecified.
  std::uint32_t connection_limit = 0;
  /// Number of requests that the endpoint runs at once; 0 if unspecified.
  std::uint32_t slots = 0;
  /// Time until the endpoint reaches full speed after its start.
  duration cold_time_left{};
  /// The endpoint's name for itself; empty if it has none.
  endpoint_name name;
  /// Increases with each report of an incarnation; 0 if reports are not
  /// numbered.
  std::uint64_t sequence = 0;
  /// The endpoint's response to a health probe, which names neither its run nor
  /// its slots.
  bool is_probe_result = false;
  /// What that response says about the endpoint besides its state.
  std::optional<endpoint_signals> signals;
  /// Set if the endpoint waits for an acknowledgement. Answer it with
  /// `acknowledge_report` or `refuse_report`.
  std::optional<report_id> report;
};

/// A connection to `peer`, or to the local endpoint if unset, failed or was
/// closed by the other side.
struct connection_closed {
  connection_id connection;
  std::optional<node_id> peer;
};

/// A control message arrived.
struct message_received {
  peer_message message;
};

/// A call of the key-value store has ended, with or without an answer.
struct store_answered {
  store_call_id call;
  store_result result;
};

/// The value of a `decode_routes` was decoded. `config` is unset if it is
/// invalid.
struct routes_decoded {
  std::optional<route_config> config;
  std::string value;
  route_reading reading;
};

/// Another node requested this node's view.
struct view_requested {
  view_call_id call;
};

/// Another node sent its view.
struct view_received {
  peer_view view;
};

/// Another node reported its use of quotas that this node owns. Answer it with
/// `send_quota_grants`.
struct quota_reported {
  quota_call_id call;
  node_id from;
  std::vector<quota_usage> usage;
};

/// The answer to `report_quota_usage`; `grants` is unset if the owner did not
/// answer in time.
struct quota_granted {
  quota_call_id call;
  std::optional<std::vector<quota_grant>> grants;
};

/// Another node waits for the answers to `attempts`. Answer it with
/// `send_attempt_reports`.
struct attempts_queried {
  attempt_query_id query;
  node_id from;
  incarnation from_run;
  /// The address that the question came from.
  std::string from_host;
  /// The incarnation of this node that the attempts were sent to.
  incarnation expected_run;
  std::vector<attempt_id> attempts;
  /// A part of a request from `from_host` has been read, which may be one of
  /// the attempts.
  bool is_receiving = false;
};

/// The answer to `query_attempts`; `reports` is unset if the other node gave
/// none.
struct attempt_reports_received {
  attempt_query_id query;
  std::optional<std::vector<attempt_report>> reports;
};

/// A request to the administration API of this node arrived.
struct admin_requested {
  admin_call_id call;
  admin_request request;
};

using event_content = std::variant<node_started,
                                   stop_requested,
                                   time_passed,
                                   loop_delay_measured,
                                   call_arrived,
                                   call_cancelled,
                                   request_abandoned,
                                   attempt_sent,
                                   attempt_finished,
                                   work_arrived,
                                   work_cancelled,
                                   work_sent,
                                   work_finished,
                                   endpoint_reported,
                                   connection_closed,
                                   message_received,
                                   store_answered,
                                   routes_decoded,
                                   view_requested,
                                   view_received,
                                   quota_reported,
                                   quota_granted,
                                   attempts_queried,
                                   attempt_reports_received,
                                   admin_requested>;

/// An input of the reducer, with the time and the entropy that the reducer may
/// use to process it.
struct event {
  instant now;
  std::uint64_t entropy = 0;
  event_content content;
  /// Total time that the machine was suspended since it booted. `now` does not
  /// count this time.
  duration suspended{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_EVENT_H_
