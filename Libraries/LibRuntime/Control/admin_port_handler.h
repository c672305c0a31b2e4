#ifndef LIBRUNTIME_CONTROL_ADMIN_PORT_HANDLER_H_
#define LIBRUNTIME_CONTROL_ADMIN_PORT_HANDLER_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "LibDecision/effect.h"
#include "LibRuntime/Connections/server_exchange.h"
#include "LibRuntime/Control/admin_handler.h"
#include "LibRuntime/event_sink.h"

namespace auburnfold {

/// Handles requests to the admin port: metrics, liveness and readiness, and the
/// paths of the administration API.
class admin_port_handler {
 public:
  admin_port_handler(event_sink sink,
                     std::function<std::string()> metrics_text);

  void SetHandler(admin_handler handler) { handler_ = std::move(handler); }
  void OnRequest(const std::shared_ptr<server_exchange>& exchange,
                 const http_request& request);
  /// Responds with whether the node is ready for calls.
  void HandleReadinessRequest(
      const std::shared_ptr<server_exchange>& exchange) const;
  /// Makes the node not ready until `OnRoutesAvailable` is called.
  void RequireRoutes() { is_waiting_for_routes_ = true; }
  void OnRoutesAvailable() { is_waiting_for_routes_ = false; }
  /// Makes the node permanently not ready.
  void OnStopRequested() { is_stopping_ = true; }

  void SubmitRequest(admin_request request, admin_result_handler on_result);
  void Execute(answer_admin& effect);

 private:
  event_sink sink_;
  std::function<std::string()> metrics_text_;
  admin_handler handler_;
  std::uint64_t next_call_id_ = 1;
  std::unordered_map<admin_call_id, admin_result_handler> pending_requests_;
  bool is_waiting_for_routes_ = false;
  bool is_stopping_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_ADMIN_PORT_HANDLER_H_
