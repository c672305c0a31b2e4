#ifndef LIBRUNTIME_CONNECTIONS_HTTP_LISTENER_H_
#define LIBRUNTIME_CONNECTIONS_HTTP_LISTENER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/server_session.h"
#include "LibRuntime/Observability/node_metrics.h"

namespace auburnfold {

/// Accepts connections at one port and runs a `server_session` for each.
class http_listener {
 public:
  /// `memory_bytes` bounds the request bodies that its sessions hold at once.
  http_listener(asio::io_context& io,
                session_handlers handlers,
                node_metrics& metrics,
                std::size_t memory_bytes = kMaxRequestMemoryBytes);

  /// Applies from the next request of each session on.
  void set_limits(const session_limits& limits) { limits_ = limits; }

  /// Listens at `host`:`port`; port 0 picks any free port. Fails if `host` is
  /// not an IP address of this machine or the port is in use.
  error_code Listen(const std::string& host, std::uint16_t port);

  /// From `max_sessions` sessions on, those that have been idle longest are
  /// closed as others are accepted. Without a call there is no limit.
  void LimitSessions(std::size_t max_sessions);

  /// Closes sessions without progress, and discards closed ones. Call it about
  /// once a second.
  void Sweep();
  /// Closes the port and every session.
  void Close();

  /// Whether a session has a response that is not delivered yet.
  bool IsResponding() const;
  /// Announces the end of the sessions without a request whose peers could lose
  /// responses by a close. They count as responding until their peers close.
  void EndUnread();
  /// Whether a part of a request from `peer_host` has been read.
  bool IsReceivingFrom(const std::string& peer_host) const;

  std::uint16_t port() const;
  std::size_t session_count() const { return sessions_.size(); }

 private:
  void Accept();
  /// Accepts the other connections that are waiting, then waits for more.
  void AcceptWaiting();
  void OnAccepted(tcp::socket socket);
  void ApplyLimit();
  /// Closes up to `count` sessions that are idle, the longest idle first.
  void CloseLongestIdle(std::size_t count);
  void EraseClosedSessions();
  void OnAcceptFailed(error_code error);

  session_limits limits_;
  session_handlers handlers_;
  node_metrics& metrics_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::vector<std::weak_ptr<server_session>> sessions_;
  std::size_t max_sessions_ = std::numeric_limits<std::size_t>::max();
  /// Number of sessions at which the limit is next applied.
  std::size_t apply_limit_at_ = std::numeric_limits<std::size_t>::max();
  /// The last attempt to accept a connection failed.
  bool is_failing_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_HTTP_LISTENER_H_
