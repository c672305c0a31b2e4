#ifndef LIBDECISION_EFFECT_H_
#define LIBDECISION_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "LibDecision/Routes/route.h"
#include "LibDecision/Routes/route_reading.h"
#include "LibDecision/admin_call.h"
#include "LibDecision/answer_metadata.h"
#include "LibDecision/attempt_report.h"
#include "LibDecision/counter.h"
#include "LibDecision/decision_record.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/peer_message.h"
#include "LibDecision/peer_view.h"
#include "LibDecision/quota_usage.h"
#include "LibDecision/request_metadata.h"
#include "LibDecision/store_call.h"

namespace auburnfold {

/// Forward `call` to the node at `to`. Report `attempt_sent` before the first
/// byte is written, and `attempt_finished` exactly once, at the latest when
/// `metadata.time_left` has elapsed.
struct send_attempt {
  attempt_id attempt;
  call_id call;
  node_id node;
  /// The receiver accepts the request only if this is its incarnation.
  incarnation expected_run;
  node_address to;
  request_metadata metadata;
};

/// Cancel an attempt whose answer is no longer needed. Close its connection if
/// bytes were written.
struct cancel_attempt {
  attempt_id attempt;
};

/// Forward the complete answer of `attempt` to the caller.
struct relay_answer {
  call_id call;
  attempt_id attempt;
  std::uint16_t allowance_left = 0;
};

/// Answer the caller with an error.
struct refuse_call {
  call_id call;
  error_kind kind;
  /// Whether the request was executed.
  execution_state execution;
  /// Delay after which the caller may retry; zero means never.
  duration retry_after{};
  std::uint16_t allowance_left = 0;
};

/// Report `call_arrived` for `call` once more, with `is_pipelined` and `behind`
/// unset, when all earlier requests on its connection are answered. Until then
/// report no later call of the connection.
struct defer_call {
  call_id call;
};

/// Reserve memory for the answer to `call`, which may have to wait for those to
/// earlier requests on its connection.
struct reserve_answer {
  call_id call;
  std::uint64_t bytes = 0;
};

/// Send `work` to the local endpoint. Report `work_sent` before the first byte
/// is written, and `work_finished` exactly once.
struct execute_work {
  work_id work;
  /// The endpoint that must execute it; empty if any endpoint at the local
  /// address may.
  endpoint_name endpoint;
  duration time_left{};
};

/// Cancel work at the endpoint by closing its connection.
struct cancel_work {
  work_id work;
};

/// Forward the endpoint's complete answer to the forwarding node.
struct relay_work_answer {
  work_id work;
  answer_metadata metadata;
};

/// Answer the forwarding node with an error.
struct refuse_work {
  work_id work;
  error_kind kind;
  execution_state execution;
  answer_metadata metadata;
};

/// Answer the forwarding node with a newly issued idempotency key.
struct answer_with_key {
  work_id work;
  idempotency_key key;
  answer_metadata metadata;
};

/// Cache the complete answer of `work` under `key`, for retries of the request.
struct cache_answer {
  idempotency_key key;
  work_id work;
};

/// Answer the forwarding node with the answer cached under `key`.
struct replay_answer {
  work_id work;
  idempotency_key key;
  answer_metadata metadata;
};

/// Remove the answer cached under `key`.
struct evict_answer {
  idempotency_key key;
};

/// Close a connection, even if requests are in flight on it. A new one is
/// opened when needed.
struct close_connection {
  connection_id connection;
};

/// Close `connection` unless it carries a request: one may have been written
/// to it that the reducer has not heard of yet.
struct close_idle_connection {
  connection_id connection;
};

/// Send a control message. Delivery is not guaranteed.
struct send_message {
  node_address to;
  peer_message message;
};

/// Keep control connections open to exactly these nodes.
struct set_neighbours {
  std::vector<node_address> neighbours;
};

/// Send a request to the key-value store. Report `store_answered` exactly once.
struct call_store {
  store_call_id call;
  store_request request;
};

/// Request the view of the node at `to`. Report `view_received` if it arrives.
struct request_view {
  node_address to;
};

/// Answer another node's request for this node's view.
struct send_view {
  view_call_id call;
  peer_view view;
};

/// Report the use of quotas to the node at `to`, which owns them. Report
/// `quota_granted` exactly once.
struct report_quota_usage {
  quota_call_id call;
  node_address to;
  std::vector<quota_usage> usage;
};

/// Answer another node's report of its use of quotas.
struct send_quota_grants {
  quota_call_id call;
  std::vector<quota_grant> grants;
};

/// Ask the node at `to` what it knows about attempts that were sent to it in
/// its incarnation `expected_run`. Use a new connection, since all others may
/// be silent. Report `attempt_reports_received` exactly once.
struct query_attempts {
  attempt_query_id query;
  node_address to;
  incarnation expected_run;
  std::vector<attempt_id> attempts;
};

/// Answer another node's question about its attempts; `reports` is unset if
/// the question is refused.
struct send_attempt_reports {
  attempt_query_id query;
  std::optional<std::vector<attempt_report>> reports;
};

/// Probe the health of the local endpoint at `path`. Report `endpoint_reported`
/// with an unset `run` if it is ready, and nothing otherwise.
struct probe_endpoint {
  std::string path;
};

/// Acknowledge a report of the local endpoint.
struct acknowledge_report {
  report_id report;
};

/// Tell the local endpoint that a report could not be acknowledged.
struct refuse_report {
  report_id report;
  error_kind kind;
};

/// Decode the routes from the value of the route key. Report `routes_decoded`
/// with the same `value` and `reading`.
struct decode_routes {
  std::string value;
  route_reading reading;
};

/// Limit the requests and connections of callers from now on.
struct apply_caller_limits {
  caller_limits limits;
};

/// Answer an administration request.
struct answer_admin {
  admin_call_id call;
  admin_result result;
};

/// Report `time_passed` at `when`. Replaces every earlier `wake_at`.
struct wake_at {
  instant when;
};

/// Add `amount` to a counter.
struct increment_counter {
  counter which;
  std::uint64_t amount = 1;
};

/// Write a log line about a change that is of interest to operators.
struct log_message {
  std::string text;
};

/// Log a decision, so that it can be explained later.
struct log_decision {
  decision_record record;
};

/// All calls and work have ended: the process may exit.
struct stop_process {
  /// Requests that were aborted because the stop limit was reached.
  std::uint64_t aborted_requests = 0;
};

using effect = std::variant<send_attempt,
                            cancel_attempt,
                            relay_answer,
                            refuse_call,
                            defer_call,
                            reserve_answer,
                            execute_work,
                            cancel_work,
                            relay_work_answer,
                            refuse_work,
                            answer_with_key,
                            cache_answer,
                            replay_answer,
                            evict_answer,
                            close_connection,
                            close_idle_connection,
                            send_message,
                            set_neighbours,
                            call_store,
                            probe_endpoint,
                            acknowledge_report,
                            refuse_report,
                            decode_routes,
                            apply_caller_limits,
                            request_view,
                            send_view,
                            report_quota_usage,
                            send_quota_grants,
                            query_attempts,
                            send_attempt_reports,
                            answer_admin,
                            wake_at,
                            increment_counter,
                            log_message,
                            log_decision,
                            stop_process>;

/// What the embedder must carry out after an event, in this order.
using effects = std::vector<effect>;

}  // namespace auburnfold

#endif  // LIBDECISION_EFFECT_H_
