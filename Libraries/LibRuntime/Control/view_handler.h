#ifndef LIBRUNTIME_CONTROL_VIEW_HANDLER_H_
#define LIBRUNTIME_CONTROL_VIEW_HANDLER_H_

#include <memory>
#include <unordered_map>

#include "LibDecision/effect.h"
#include "LibRuntime/Connections/connection_pool.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/server_exchange.h"
#include "LibRuntime/event_sink.h"

namespace auburnfold {

/// Requests the views of other nodes (members and routes), and answers their
/// requests for this node's view.
class view_handler {
 public:
  view_handler(asio::io_context& io,
               connection_pool::id_source next_connection,
               event_sink sink);

  /// Whether a request at the peer port asks for this node's view.
  static bool IsViewRequest(const http_request& request);
  void OnViewRequest(const std::shared_ptr<server_exchange>& exchange);

  void Execute(const request_view& command);
  void Execute(const send_view& command);

 private:
  asio::io_context& io_;
  connection_pool::id_source next_connection_;
  event_sink sink_;
  std::uint64_t next_call_ = 1;
  std::unordered_map<view_call_id, std::shared_ptr<server_exchange>> pending_;
  /// Each request has a pool of its own, which the next request replaces.
  body_memory memory_{kMaxBodyBytes * 2};
  std::unique_ptr<connection_pool> pool_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_VIEW_HANDLER_H_
