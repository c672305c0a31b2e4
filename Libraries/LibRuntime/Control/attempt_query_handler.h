#ifndef LIBRUNTIME_CONTROL_ATTEMPT_QUERY_HANDLER_H_
#define LIBRUNTIME_CONTROL_ATTEMPT_QUERY_HANDLER_H_

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <unordered_map>

#include "LibDecision/effect.h"
#include "LibRuntime/Connections/connection_pool.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/server_exchange.h"
#include "LibRuntime/event_sink.h"
#include "LibRuntime/node_identity.h"

namespace auburnfold {

/// Asks other nodes about attempts that take long, and answers their questions.
class attempt_query_handler {
 public:
  /// `is_in_transfer` sets `attempt_report::is_in_transfer`.
  attempt_query_handler(asio::io_context& io,
                        const node_identity& self,
                        connection_pool::id_source next_connection,
                        event_sink sink,
                        std::function<bool(attempt_id)> is_in_transfer);

  /// Whether a request at the peer port is a question about attempts.
  static bool IsQuery(const http_request& request);
  /// `is_receiving` sets `attempts_queried::is_receiving`.
  void OnQuery(const std::shared_ptr<server_exchange>& exchange,
               const http_request& request,
               bool is_receiving);

  void Execute(const query_attempts& command);
  void Execute(const send_attempt_reports& command);

  /// Closes the connections of answered questions.
  void Sweep();

 private:
  struct open_query {
    std::unique_ptr<connection_pool> pool;
    asio::steady_timer timeout;
    bool is_answered = false;
  };

  void OnAnswered(attempt_query_id query, const client_result& result);

  asio::io_context& io_;
  const node_identity& self_;
  connection_pool::id_source next_connection_;
  event_sink sink_;
  std::function<bool(attempt_id)> is_in_transfer_;
  std::uint64_t next_received_ = 1;
  /// Questions of other nodes that are not answered yet.
  std::unordered_map<attempt_query_id, std::shared_ptr<server_exchange>>
      received_;
  body_memory memory_{kMaxBodyBytes * 2};
  std::unordered_map<attempt_query_id, open_query> sent_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_ATTEMPT_QUERY_HANDLER_H_
