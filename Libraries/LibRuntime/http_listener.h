#ifndef LIBRUNTIME_HTTP_LISTENER_H_
#define LIBRUNTIME_HTTP_LISTENER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "LibRuntime/http_types.h"
#include "LibRuntime/server_session.h"

namespace auburnfold {

/// Accepts connections at one port and keeps their sessions.
class http_listener {
 public:
  http_listener(asio::io_context& io, session_handlers handlers);

  /// Listens at `host`:`port`; port 0 takes any free one. Not listening and an
  /// error if the port is taken or the host is not this machine's.
  error_code Listen(const std::string& host, std::uint16_t port);

  /// Closes sessions without progress, and forgets closed ones. Call it about
  /// once a second.
  void Sweep();
  /// Closes the port and every session.
  void Close();

  std::uint16_t port() const;
  std::size_t session_count() const { return sessions_.size(); }

 private:
  void Accept();
  void AcceptLater();

  session_handlers handlers_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::vector<std::weak_ptr<server_session>> sessions_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_HTTP_LISTENER_H_
