#ifndef LIBRUNTIME_CONTROL_QUOTA_HANDLER_H_
#define LIBRUNTIME_CONTROL_QUOTA_HANDLER_H_

#include <map>
#include <memory>
#include <unordered_map>

#include "LibDecision/effect.h"
#include "LibRuntime/Connections/connection_pool.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/server_exchange.h"
#include "LibRuntime/event_sink.h"

namespace auburnfold {

/// Reports the use of quotas to their owners, and answers the reports of other
/// nodes.
class quota_handler {
 public:
  quota_handler(asio::io_context& io,
                node_id self,
                connection_pool::id_source next_connection,
                event_sink sink);

  /// Whether a request at the peer port is a report.
  static bool IsQuotaReport(const http_request& request);
  void OnQuotaReport(const std::shared_ptr<server_exchange>& exchange,
                     const http_request& request);

  void Execute(const report_quota_usage& command);
  void Execute(const send_quota_grants& command);

  /// Closes connections that were idle for too long.
  void Sweep();

 private:
  connection_pool* PoolFor(const node_address& to);
  void OnAnswered(quota_call_id call, const client_result& result);

  asio::io_context& io_;
  node_id self_;
  connection_pool::id_source next_connection_;
  event_sink sink_;
  std::uint64_t next_call_ = 1;
  /// Reports of other nodes that are not answered yet.
  std::unordered_map<quota_call_id, std::shared_ptr<server_exchange>> received_;
  /// Ends the reports of this node that are not answered in time.
  std::unordered_map<quota_call_id, asio::steady_timer> timeouts_;
  body_memory memory_{kMaxBodyBytes * 2};
  std::map<node_address, std::unique_ptr<connection_pool>> pools_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_QUOTA_HANDLER_H_
