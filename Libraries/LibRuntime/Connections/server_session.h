#ifndef LIBRUNTIME_CONNECTIONS_SERVER_SESSION_H_
#define LIBRUNTIME_CONNECTIONS_SERVER_SESSION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibDecision/error_kind.h"
#include "LibRuntime/Connections/body_memory.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

class server_session;

/// What a session accepts.
struct session_limits {
  std::size_t header_bytes = kMaxHeaderBytes;
  std::uint64_t body_bytes = kMaxBodyBytes;
  /// A connection without a request is closed after this time.
  std::chrono::steady_clock::duration idle_timeout = std::chrono::seconds(90);
};

/// Callbacks to the server that owns the sessions, and what they share.
struct session_handlers {
  /// A complete request was read. Answer it with
  /// `server_session::SendResponse`.
  std::function<void(const std::shared_ptr<server_session>&, http_request)>
      on_request;
  /// A request was rejected before it was read: it is malformed or too large,
  /// or there is no memory for its body. Answer it with
  /// `server_session::SendResponseAndClose`.
  std::function<void(const std::shared_ptr<server_session>&, error_kind)>
      on_rejected;
  /// Must outlive the open sessions. The limits may change and then hold from
  /// the next request on.
  const session_limits* limits = nullptr;
  /// Shared with sessions that end after the server, with the event loop.
  std::shared_ptr<body_memory> memory;
};

/// An accepted HTTP/1.1 connection. Serves requests one after the other, and
/// detects a peer that disconnects while one is being served.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  using clock = std::chrono::steady_clock;

  server_session(tcp::socket socket, const session_handlers& handlers);
  ~server_session();
  server_session(const server_session&) = delete;
  server_session& operator=(const server_session&) = delete;

  void Start();

  /// Calls `on_disconnect` if the peer disconnects before the current request
  /// is answered.
  void SetDisconnectHandler(std::function<void()> on_disconnect);
  /// Sends the response to the current request.
  void SendResponse(http_response response);
  /// Sends the response to the current request, then closes the connection.
  void SendResponseAndClose(http_response response);
  /// Closes the connection at once, without calling `on_disconnect`.
  void Close();

  /// Closes the connection if no request is being served and the timeout for
  /// an idle, reading or closing connection has expired at `now`.
  void CloseIfStale(clock::time_point now);

  /// Closes the connection if it carries no request and none has arrived.
  /// Returns whether it will be closed.
  bool CloseIfIdle();
  /// When the last request was answered, or the connection was accepted.
  clock::time_point idle_since() const { return idle_since_; }

  /// Whether the peer's close has arrived behind the current request. It is
  /// reported to the disconnect handler only after the request was handled.
  bool HasPeerClosed();

  /// The IP address of the peer; empty if it has disconnected.
  std::string peer_host() const;
  bool is_open() const { return socket_.is_open(); }
  /// A request has been read and its response is not yet written.
  bool is_busy() const { return is_busy_; }

 private:
  /// Looks at what has arrived without reading it: no error if there are bytes,
  /// `would_block` if there is nothing.
  error_code Peek();
  void Read();
  void OnRead(error_code error, std::size_t size);
  void Parse();
  void DispatchRequest();
  void RejectMalformed(error_code error);
  void Reject(error_kind kind);
  /// Reserves memory for the body of the current request, all of it once its
  /// size is known. Returns whether there is enough.
  bool ReserveBodyMemory();
  void ReleaseBodyMemory();
  void SendContinueIfExpected();
  void Write();
  void OnWritten(error_code error);
  void PrepareNext();
  void OnDisconnected();

  tcp::socket socket_;
  const session_handlers& handlers_;
  std::shared_ptr<body_memory> memory_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http_response response_;
  std::optional<http::response_serializer<http::string_body>> serializer_;
  std::function<void()> on_disconnect_;
  clock::time_point deadline_;
  clock::time_point idle_since_;
  http::verb method_ = http::verb::unknown;
  /// Held until the request is answered, since the request is.
  std::size_t reserved_bytes_ = 0;
  bool is_busy_ = false;
  bool is_reading_ = false;
  bool is_continue_sent_ = false;
  bool keeps_alive_ = true;
  /// The last response was written. Bytes that still arrive are read and
  /// discarded, since closing with unread bytes would reset the connection and
  /// could lose the response.
  bool is_lingering_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_SERVER_SESSION_H_
