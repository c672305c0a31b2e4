#ifndef LIBDECISION_EFFECT_H_
#define LIBDECISION_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibDecision/admin_call.h"
#include "LibDecision/answer_facts.h"
#include "LibDecision/counter.h"
#include "LibDecision/decision_record.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/peer_message.h"
#include "LibDecision/peer_view.h"
#include "LibDecision/request_facts.h"
#include "LibDecision/store_call.h"

namespace auburnfold {

/// Forward `call` to the node at `to`. Answer with `attempt_sent` before the
/// first byte is written and with `attempt_finished` once, at the latest when
/// `facts.time_left` has passed.
struct send_attempt {
  attempt_id attempt;
  call_id call;
  node_id node;
  /// The incarnation that the receiver must have to take the request.
  incarnation expected_run;
  node_address to;
  request_facts facts;
};

/// Give up on an attempt: no answer of it is wanted. Closes its connection if
/// bytes were written.
struct cancel_attempt {
  attempt_id attempt;
};

/// Pass the whole answer of `attempt` to the caller.
struct relay_answer {
  call_id call;
  attempt_id attempt;
  std::uint16_t allowance_left = 0;
};

/// Answer the caller with an error.
struct refuse_call {
  call_id call;
  error_kind kind;
  /// What is certain about this send.
  run_state ran;
  /// Zero: never.
  duration retry_after{};
  std::uint16_t allowance_left = 0;
};

/// Send `work` to the own endpoint. Answer with `work_sent` before the first
/// byte and with `work_finished` once.
struct run_work {
  work_id work;
  /// The endpoint that must run it; empty if any may that answers there.
  endpoint_name endpoint;
  duration time_left{};
};

/// Give up on work at the endpoint, by closing its connection.
struct cancel_work {
  work_id work;
};

/// Pass the endpoint's whole answer to the forwarding node.
struct relay_work_answer {
  work_id work;
  answer_facts facts;
};

/// Answer the forwarding node with an error.
struct refuse_work {
  work_id work;
  error_kind kind;
  run_state ran;
  answer_facts facts;
};

/// Answer the forwarding node with a newly issued idempotency key.
struct answer_with_key {
  work_id work;
  idempotency_key key;
  answer_facts facts;
};

/// Keep the whole answer of `work` for resends under `key`.
struct remember_answer {
  idempotency_key key;
  work_id work;
};

/// Answer the forwarding node with the answer remembered under `key`.
struct replay_answer {
  work_id work;
  idempotency_key key;
  answer_facts facts;
};

/// Drop the answer remembered under `key`.
struct forget_answer {
  idempotency_key key;
};

/// Close a connection, whatever is on it, and open a new one when needed.
struct close_connection {
  connection_id connection;
};

/// Send a control message; it may be lost.
struct send_message {
  node_address to;
  peer_message message;
};

/// The nodes to which control connections are kept open.
struct keep_neighbours {
  std::vector<node_address> neighbours;
};

/// Call the key-value service. Answer with `store_answered` once.
struct call_store {
  store_call_id call;
  store_request request;
};

/// Ask the node at `to` for its view. Answer with `view_received` if it comes.
struct ask_view {
  node_address to;
};

/// Answer another node's question for the view.
struct give_view {
  view_call_id call;
  peer_view view;
};

/// Ask the endpoint beside this node, at `path`, how it is. Answer with
/// `endpoint_reported` of no run if it is ready, and not at all otherwise.
struct ask_endpoint {
  std::string path;
};

/// Read routes from the value of the route key. Answer with `routes_decoded`.
struct decode_routes {
  std::string value;
};

/// Answer an administration request.
struct answer_admin {
  admin_call_id call;
  admin_result result;
};

/// Send `time_passed` at `when`; replaces every earlier `wake_at`.
struct wake_at {
  instant when;
};

/// Add to a counter.
struct add_count {
  counter which;
  std::uint64_t amount = 1;
};

/// Something changed that an operator would want a log line for.
struct log_change {
  std::string what;
};

/// Something was decided that must be explained later.
struct log_decision {
  decision_record record;
};

/// All that ran is finished: the process may exit.
struct stop_process {
  /// Requests that were cut because the stop took too long.
  std::uint64_t cut_requests = 0;
};

using effect = std::variant<send_attempt,
                            cancel_attempt,
                            relay_answer,
                            refuse_call,
                            run_work,
                            cancel_work,
                            relay_work_answer,
                            refuse_work,
                            answer_with_key,
                            remember_answer,
                            replay_answer,
                            forget_answer,
                            close_connection,
                            send_message,
                            keep_neighbours,
                            call_store,
                            ask_endpoint,
                            decode_routes,
                            ask_view,
                            give_view,
                            answer_admin,
                            wake_at,
                            add_count,
                            log_change,
                            log_decision,
                            stop_process>;

/// What the embedder must do after an event, in this order.
using effects = std::vector<effect>;

}  // namespace auburnfold

#endif  // LIBDECISION_EFFECT_H_
