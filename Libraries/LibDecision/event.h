#ifndef LIBDECISION_EVENT_H_
#define LIBDECISION_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibDecision/Routes/route.h"
#include "LibDecision/admin_call.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"
#include "LibDecision/peer_message.h"
#include "LibDecision/peer_view.h"
#include "LibDecision/request_facts.h"
#include "LibDecision/store_call.h"

namespace auburnfold {

/// First event of every run.
struct node_started {
  node_id node;
  incarnation run;
  node_address address;
  domain_name domain;
  /// Control addresses to join through while the key-value service is away.
  std::vector<node_address> seeds;
  /// Of the endpoint beside the node; empty if only its reports tell.
  service_name service;
};

/// The process was asked to stop: nothing new, finish what runs.
struct stop_requested {};

/// Time has passed; sent when the instant of the last `wake_at` is reached.
struct time_passed {};

/// Where a request wants to go, if routes decide its service.
struct route_target {
  std::string host;
  std::string path;
};

/// A caller, or the endpoint beside this node, asks for a service.
struct call_arrived {
  call_id call;
  /// Set if the caller names no service: the routes name it.
  std::optional<route_target> target;
  /// The work at the own endpoint that the call was made for. Unset for a
  /// root request, and for one whose parent this node does not know.
  std::optional<work_id> parent;
  /// The caller named a parent, known or not.
  bool has_parent = false;
  /// The endpoint beside this node may have sent it, without a word of the
  /// work that it is for.
  bool may_have_parent = false;
  request_facts facts;
};

/// The caller of `call` has closed its connection.
struct call_cancelled {
  call_id call;
};

/// The bytes of `attempt` are about to be written to `connection`. If the
/// effects of this event cancel the attempt, nothing is written.
struct attempt_sent {
  attempt_id attempt;
  connection_id connection;
};

/// An attempt ended.
struct attempt_finished {
  attempt_id attempt;
  outcome result;
};

/// Another node forwarded a request for the own endpoint.
struct work_arrived {
  work_id work;
  node_id from;
  /// Where `from` listens for other nodes; `host` is empty if not known.
  node_address from_address;
  request_facts facts;
  /// The incarnation of this node that the sender believes in.
  incarnation expected_run;
};

/// The forwarding node has given the request up.
struct work_cancelled {
  work_id work;
};

/// The bytes of `work` are about to be written to the endpoint. If the effects
/// of this event cancel the work, nothing is written.
struct work_sent {
  work_id work;
  connection_id connection;
};

/// The endpoint answered or failed.
struct work_finished {
  work_id work;
  outcome result;
};

/// How the endpoint describes itself.
enum class endpoint_state : std::uint8_t {
  kReady,
  kLeaving,
  kGone,  ///< It says farewell: this run takes nothing new, whatever it said.
};

/// The endpoint beside this node announced itself, or reported again. A
/// report may be old or wrong.
struct endpoint_reported {
  service_name service;
  endpoint_state state = endpoint_state::kReady;
  /// The endpoint's own run; a change means that it was replaced.
  incarnation run;
  /// Share of its slots that it believes in use, 0 to 1.
  double load = 0;
  bool is_healthy = true;
  /// Most connections that the endpoint accepts; 0 if unsaid.
  std::uint32_t connection_limit = 0;
  /// Requests that the endpoint runs at once; 0 if unsaid.
  std::uint32_t slots = 0;
  /// How much longer the endpoint is slow after its start.
  duration cold_for{};
  /// As the endpoint names itself; empty if it does not.
  endpoint_name name;
  /// Grows with each report of one run; 0 if reports are not numbered.
  std::uint64_t sequence = 0;
};

/// A connection to `peer` (or to the own endpoint, if unset) was closed by
/// the other side or failed.
struct connection_closed {
  connection_id connection;
  std::optional<node_id> peer;
};

/// A control message arrived.
struct message_received {
  peer_message message;
};

/// The key-value service answered, or did not.
struct store_answered {
  store_call_id call;
  store_result result;
};

/// The value under the route key was read. `config` is unset if it makes no
/// sense.
struct routes_decoded {
  std::optional<route_config> config;
};

/// Another node asks for this node's view.
struct view_asked {
  view_call_id call;
};

/// Another node has told its view.
struct view_received {
  peer_view view;
};

/// Someone uses the administration API of this node.
struct admin_requested {
  admin_call_id call;
  admin_request request;
};

using event_content = std::variant<node_started,
                                   stop_requested,
                                   time_passed,
                                   call_arrived,
                                   call_cancelled,
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
                                   view_asked,
                                   view_received,
                                   admin_requested>;

/// Something that happened to the node, with the time and the randomness that
/// the reducer may use for it.
struct event {
  instant now;
  std::uint64_t entropy = 0;
  event_content content;
};

}  // namespace auburnfold

#endif  // LIBDECISION_EVENT_H_
