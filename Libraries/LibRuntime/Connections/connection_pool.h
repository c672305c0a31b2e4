#ifndef LIBRUNTIME_CONNECTIONS_CONNECTION_POOL_H_
#define LIBRUNTIME_CONNECTIONS_CONNECTION_POOL_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "LibRuntime/Connections/client_connection.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// A pool of outgoing connections to one address, kept open between requests.
class connection_pool {
 public:
  /// Returns a new connection id, unique within the process.
  using id_source = std::function<connection_id()>;
  /// Called for each connection that the peer closed.
  using closed_handler = std::function<void(connection_id)>;

  /// `memory` must outlive the pool. `max_header_bytes` bounds the start line
  /// and headers of each response.
  connection_pool(asio::io_context& io,
                  tcp::endpoint to,
                  id_source next_id,
                  closed_handler on_closed_by_peer,
                  body_memory& memory,
                  std::size_t max_header_bytes = kMaxHeaderBytes);
  ~connection_pool();
  connection_pool(const connection_pool&) = delete;
  connection_pool& operator=(const connection_pool&) = delete;

  /// Sends `request` over an idle connection that may carry it, or over a new
  /// one. Returns the connection, through which the request can be cancelled or
  /// timed out.
  std::weak_ptr<client_connection> Send(client_request request);
  /// Opens one more connection and reports whether the peer refused it. The
  /// connection then takes requests. A peer that has not accepted it after
  /// `timeout` has not refused it.
  void TestPeer(std::chrono::milliseconds timeout,
                std::function<void(bool is_refused)> done);
  /// Closes the connection; false if it is not in this pool.
  bool Close(connection_id id);
  /// Closes the connection if it is in this pool and carries no request.
  void CloseIfIdle(connection_id id);
  /// Closes connections that were idle for too long. Call it about once a
  /// second.
  void Sweep();

  std::size_t open_count() const { return open_.size(); }

 private:
  /// Null if no idle connection may carry `request`.
  std::shared_ptr<client_connection> TakeIdle(const client_request& request);

  asio::io_context& io_;
  tcp::endpoint to_;
  id_source next_id_;
  closed_handler on_closed_by_peer_;
  connection_handlers handlers_;
  std::unordered_map<connection_id, std::shared_ptr<client_connection>> open_;
  /// A stack: the last used connection is reused first, so that surplus
  /// connections stay idle and are closed.
  std::vector<std::shared_ptr<client_connection>> idle_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_CONNECTION_POOL_H_
