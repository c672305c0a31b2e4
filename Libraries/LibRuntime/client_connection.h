#ifndef LIBRUNTIME_CLIENT_CONNECTION_H_
#define LIBRUNTIME_CLIENT_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "LibRuntime/client_request.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

class client_connection;

/// What the owner of a connection wants to know.
struct connection_handlers {
  /// The connection is open and carries no request.
  std::function<void(const std::shared_ptr<client_connection>&)> on_idle;
  /// The connection is closed; `by_peer` unless the owner closed it.
  std::function<void(const std::shared_ptr<client_connection>&, bool by_peer)>
      on_closed;
};

/// One outgoing connection, with at most one request on it. It is used again
/// only after the whole answer of the last request was read.
class client_connection
    : public std::enable_shared_from_this<client_connection> {
 public:
  using clock = std::chrono::steady_clock;

  client_connection(asio::io_context& io,
                    connection_id id,
                    const connection_handlers& handlers);

  /// Connects and sends `request`.
  void Connect(const tcp::endpoint& to, client_request request);
  /// Sends `request` on this idle connection.
  void Send(client_request request);
  /// Ends the running request with a time-out. If bytes of it were written,
  /// the connection is closed.
  void TimeOut();
  /// Gives up on the running request without a result. If bytes of it were
  /// written, the connection is closed.
  void Cancel();
  /// Closes the connection; a running request ends as lost.
  void Close();

  void CloseIfStale(clock::time_point now);

  connection_id id() const { return id_; }
  bool is_open() const { return state_ != state::kClosed; }
  bool is_idle() const { return state_ == state::kIdle; }

 private:
  enum class state : std::uint8_t { kConnecting, kIdle, kBusy, kClosed };

  void OnConnected(error_code error);
  void Write();
  void OnWritten(error_code error);
  void Read();
  void OnRead(error_code error, std::size_t size);
  void Parse();
  void PrepareParser();
  void Complete();
  void Fail(error_kind kind, execution_state execution, bool by_peer);
  void OnDisconnected(error_code error);
  /// Whether the answer that was read belongs to the request.
  bool MatchesRequest() const;
  /// When an idle connection is no longer used.
  clock::time_point IdleDeadline() const;
  void StartConnectTimer();
  void CloseSocket(bool by_peer);

  tcp::socket socket_;
  asio::steady_timer connect_timer_;
  connection_id id_;
  const connection_handlers& handlers_;
  state state_ = state::kConnecting;
  client_request request_;
  std::optional<http::request_serializer<http::span_body<const char>>>
      serializer_;
  beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  clock::time_point idle_deadline_;
  bool is_reading_ = false;
  /// The request was given up while the connection was still being made.
  bool is_cancelled_ = false;
  bool is_write_done_ = true;
  /// An answer to no request was met: nothing more is sent here.
  bool must_not_reuse_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CLIENT_CONNECTION_H_
