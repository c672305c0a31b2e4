#ifndef LIBRUNTIME_CONNECTIONS_SERVER_SESSION_H_
#define LIBRUNTIME_CONNECTIONS_SERVER_SESSION_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibDecision/error_kind.h"
#include "LibRuntime/Connections/body_memory.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/message_parser.h"
#include "LibRuntime/Connections/response_delivery.h"
#include "LibRuntime/Connections/server_exchange.h"

namespace auburnfold {

/// What a session accepts.
struct session_limits {
  std::size_t header_bytes = kMaxHeaderBytes;
  std::uint64_t body_bytes = kMaxBodyBytes;
  /// A connection without a request is closed after this time.
  std::chrono::steady_clock::duration idle_timeout = std::chrono::seconds(90);
  /// Requests that are read from one connection and not answered yet.
  std::size_t max_pipelined = 1;
};

/// Callbacks to the server that owns the sessions, and what they share.
struct session_handlers {
  /// A complete request was read, in the order of the requests on the
  /// connection. Answer it with `server_exchange::Respond`.
  std::function<void(const std::shared_ptr<server_exchange>&, http_request)>
      on_request;
  /// A request was rejected before it was read: it is malformed or too large,
  /// or there is no memory for its body. Answer it with
  /// `server_exchange::RespondAndClose`.
  std::function<void(const std::shared_ptr<server_exchange>&, error_kind)>
      on_rejected;
  /// The connection is closed before its peer has received the whole response
  /// to this request, which names itself by `server_exchange::SetRequest`.
  std::function<void(const request_id&)> on_undelivered;
  /// Must outlive the open sessions. The limits may change and then hold from
  /// the next request on.
  const session_limits* limits = nullptr;
  /// Shared with sessions that end after the server, with the event loop.
  std::shared_ptr<body_memory> memory;
};

/// An accepted HTTP/1.1 connection. Hands over requests as they arrive, sends
/// the responses in the order of the requests, and detects a peer that
/// disconnects meanwhile.
class server_session : public std::enable_shared_from_this<server_session> {
 public:
  using clock = std::chrono::steady_clock;

  server_session(tcp::socket socket, const session_handlers& handlers);
  ~server_session();
  server_session(const server_session&) = delete;
  server_session& operator=(const server_session&) = delete;

  void Start();

  /// Closes the connection at once, without calling disconnect handlers.
  void Close();

  /// Closes the connection if no request is being served and the timeout for
  /// an idle, reading or closing connection has expired at `now`, or if its
  /// peer has left or takes nothing of a response. If the peer could lose
  /// responses by that, announces the end instead.
  void CloseIfStale(clock::time_point now);

  /// Closes the connection if it carries no request and none has arrived.
  /// Returns whether it will be closed.
  bool CloseIfIdle();
  /// When the last request was answered, or the connection was accepted.
  clock::time_point idle_since() const { return idle_since_; }

  bool is_open() const { return socket_.is_open(); }
  /// Whether a part of a request has been read.
  bool is_receiving() const { return is_open() && parser_->got_some(); }
  std::string peer_host() const;
  /// Whether a response is not yet written, or the peer may not have read it: a
  /// session that ends reads on, since a close with unread bytes is a reset.
  bool is_responding() const {
    return is_open() && (!exchanges_.empty() || is_lingering_);
  }
  /// Announces the end of a connection without a request if its peer could lose
  /// responses by a close. It then closes once the peer does.
  void EndIfUnread(clock::time_point now);

 private:
  friend class server_exchange;
  using exchange_ptr = std::shared_ptr<server_exchange>;

  void CloseSocket();
  /// Moves the time at which a connection without a request is closed, if its
  /// peer is still receiving responses.
  void ExtendDeadline();
  /// Closes a connection with unanswered requests if its peer has left or takes
  /// nothing of a response.
  void CloseIfPeerIsGone(clock::time_point now);

  /// Looks at what has arrived without reading it: no error if there are bytes,
  /// `would_block` if there is nothing.
  error_code Peek();
  bool HasPeerClosed();

  void Read();
  void OnRead(error_code error, std::size_t size);
  /// Takes the requests that were read as far as the bounds allow, then reads
  /// on or waits for the peer's close.
  void Advance();
  void ReadOn();
  void WatchForClose();
  /// Whether no further request may be taken until others are answered.
  bool IsPaused() const;
  /// Returns whether a request was taken and more has been read.
  bool Parse();
  void TakeRequest();
  /// Hands over the requests that were read, up to a deferred one.
  void HandOver();
  void RejectMalformed(error_code error);
  void Reject(error_kind kind);
  /// Reserves memory for the request that is being read, all of it once its
  /// size is known. Returns whether there is enough.
  bool ReserveMemory();
  /// What the header of the request that is being read takes, as far as it is
  /// counted.
  std::size_t CountedHeaderBytes() const;
  void ReleaseMemory();
  void SendContinueIfExpected();
  void PrepareNext();

  bool ReserveResponse(server_exchange& exchange, std::size_t body_bytes);
  void Respond(server_exchange& exchange, http_response response);
  void WriteNext();
  void WriteSome();
  void OnWritten(error_code error, std::size_t size);
  void OnAnswered();
  /// Takes no further request, and lingers.
  void End();
  /// Announces the end of the connection and waits for the peer's.
  void Linger();
  /// Whether the peer may lose responses that it has not read if the connection
  /// is closed.
  bool MayLoseUnread(clock::time_point now) const;
  /// When the connection is closed although the peer has not closed it, if
  /// nothing more is received.
  clock::time_point LingerDeadline() const;
  /// Reads and drops what has arrived, as far as it is bounded.
  void DiscardReceived();
  /// Before a close that the peer has not asked for.
  void ReportUndelivered();

  std::size_t CountBefore(const server_exchange& exchange) const;
  std::optional<call_id> CallBefore(const server_exchange& exchange) const;
  std::size_t HeldBytes() const;
  /// Ends the connection with the requests before number `first`; the others
  /// are dropped.
  void DropFrom(std::size_t first);
  void DropBehind(const server_exchange& exchange);
  /// Ends the connection with the requests before this one.
  void EndBefore(const server_exchange& exchange);
  /// Drops the requests that were not handed over or are deferred.
  void DropWaiting();
  void Release(server_exchange& exchange);
  void OnDisconnected();

  tcp::socket socket_;
  const session_handlers& handlers_;
  std::shared_ptr<body_memory> memory_;
  /// Where the outstanding read stores bytes. Requests are taken from `buffer_`
  /// meanwhile, which moves its contents.
  std::array<char, kReadChunkBytes> received_;
  beast::flat_buffer buffer_;
  std::optional<request_parser> parser_;
  std::optional<http::response_serializer<http::string_body>> serializer_;
  /// Requests that were read and are not answered yet, in their order.
  std::deque<exchange_ptr> exchanges_;
  clock::time_point deadline_;
  clock::time_point idle_since_;
  response_delivery delivery_;
  /// Reserved for the request that is being read; held until it is answered.
  std::size_t reserved_bytes_ = 0;
  /// Bytes of the request that is being read.
  std::size_t parsed_bytes_ = 0;
  bool is_reading_ = false;
  bool is_watching_ = false;
  bool is_writing_ = false;
  /// The response that is being written closes the connection.
  bool is_writing_last_ = false;
  /// The request that is being read waits until others free memory.
  bool is_short_of_memory_ = false;
  bool is_continue_sent_ = false;
  /// The peer has sent a part of a request before it had the answer to another.
  bool is_pipelining_ = false;
  /// No more requests are taken.
  bool is_ending_ = false;
  /// The last response was written. Bytes that still arrive are read and
  /// discarded, since closing with unread bytes would reset the connection and
  /// could lose the response.
  bool is_lingering_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_SERVER_SESSION_H_
