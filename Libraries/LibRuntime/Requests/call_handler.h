#ifndef LIBRUNTIME_REQUESTS_CALL_HANDLER_H_
#define LIBRUNTIME_REQUESTS_CALL_HANDLER_H_

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "LibDecision/effect.h"
#include "LibDecision/event.h"
#include "LibRuntime/Connections/connection_pool.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/server_exchange.h"
#include "LibRuntime/Observability/node_metrics.h"
#include "LibRuntime/Requests/wire_dialect.h"
#include "LibRuntime/event_sink.h"
#include "LibRuntime/lazy_timer.h"
#include "LibRuntime/node_identity.h"

namespace auburnfold {

class work_handler;

/// Reads calls at the call port, forwards their attempts to other nodes, and
/// answers the callers.
class call_handler {
 public:
  using clock = std::chrono::steady_clock;

  call_handler(asio::io_context& io,
               const node_identity& self,
               const work_handler& work,
               const any_wire_dialect& dialect,
               connection_pool::id_source next_connection,
               event_sink sink,
               node_metrics& metrics);

  /// Handles a call that was read from `exchange`.
  void OnCall(const std::shared_ptr<server_exchange>& exchange,
              http_request request);
  /// Handles a caller's request for an idempotency key.
  void OnKeyRequested(const std::shared_ptr<server_exchange>& exchange,
                      http_request request);

  void Execute(send_attempt& sent);
  void Execute(const cancel_attempt& cancelled);
  void Execute(const relay_answer& relayed);
  void Execute(const refuse_call& refused);
  void Execute(const defer_call& deferred);
  void Execute(const reserve_answer& reserved);

  /// Ends a call whose answer could not be sent: closes its connection, which
  /// promises nothing.
  void Fail(call_id call);
  /// The id of an open call's request; empty if it is not open.
  request_id RequestOf(call_id call) const;

  /// Discards the response of an attempt that the reducer has handled.
  void DiscardAttempt(attempt_id attempt) { attempts_.erase(attempt); }
  /// Closes the connection; false if it does not lead to another node.
  bool Close(connection_id connection);
  /// Closes the connection unless it carries a request.
  void CloseIfIdle(connection_id connection);
  /// From now on, connections close after the responses to the calls that are
  /// open on them.
  void OnStopRequested() { is_stopping_ = true; }
  /// Closes idle connections. Call it about once a second.
  void Sweep();

  std::size_t open_count() const { return calls_.size(); }
  /// Whether the request is still being written, or a part of the answer has
  /// been read.
  bool IsInTransfer(attempt_id attempt) const;

 private:
  struct open_call {
    std::shared_ptr<server_exchange> exchange;
    /// Without hop-by-hop and `Auburnfold-` headers.
    std::shared_ptr<const http_request> request;
    /// The id by which the caller knows this request; see
    /// `request_metadata::own_id`.
    request_id id;
    class_name request_class;
    tenant_name tenant;
    clock::time_point started;
    /// Kept while the call may be deferred.
    std::optional<call_arrived> pipelined;
  };
  struct open_attempt {
    std::weak_ptr<client_connection> connection;
    clock::time_point deadline;
    http_response response;
  };

  void Open(const std::shared_ptr<server_exchange>& exchange,
            http_request request,
            request_purpose purpose);
  void Accept(const std::shared_ptr<server_exchange>& exchange,
              http_request request,
              caller_request read);
  /// Reports a deferred call once more.
  void Resume(call_id call);
  /// Null if the host of `to` is not an IP address.
  connection_pool* PoolFor(const node_address& to, node_id node);
  void OnAttemptFinished(attempt_id attempt, client_result result);
  void SendResponse(call_id call, http_response response);
  void TimeOutAttempts();

  asio::io_context& io_;
  const node_identity& self_;
  const work_handler& work_handler_;
  const any_wire_dialect& dialect_;
  connection_pool::id_source next_connection_;
  event_sink sink_;
  node_metrics& metrics_;
  lazy_timer deadline_timer_;
  std::uint64_t next_call_ = 1;
  std::unordered_map<call_id, open_call> calls_;
  std::unordered_map<attempt_id, open_attempt> attempts_;
  body_memory memory_{kMaxResponseMemoryBytes};
  std::map<node_address, std::unique_ptr<connection_pool>> pools_;
  bool is_stopping_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_CALL_HANDLER_H_
