#ifndef LIBRUNTIME_CONNECTIONS_CLIENT_CONNECTION_H_
#define LIBRUNTIME_CONNECTIONS_CLIENT_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibRuntime/Connections/body_memory.h"
#include "LibRuntime/Connections/client_request.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibRuntime/Connections/message_parser.h"

namespace auburnfold {

class client_connection;

/// Callbacks to the owner of a connection.
struct connection_handlers {
  /// The connection is open and can take a request.
  std::function<void(const std::shared_ptr<client_connection>&)> on_idle;
  /// The connection is closed; `by_peer` is false if this side closed it.
  std::function<void(const std::shared_ptr<client_connection>&, bool by_peer)>
      on_closed;
  /// Shared by all connections of the owner.
  body_memory* memory = nullptr;
  /// Maximum size of the start line and headers of a response.
  std::size_t max_header_bytes = kMaxHeaderBytes;
};

/// An outgoing HTTP/1.1 connection that carries at most one request at a time.
/// It is reused only after the complete response to the last request was read.
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
  /// Closes the connection. The current request ends with `kAnswerTimeout`, or
  /// with `kEndpointUnreachable` if the connection is not yet made.
  void TimeOut();
  /// Closes the connection if it is not yet made.
  void StopConnecting();
  /// Cancels the current request; `on_finished` is not called. A connection
  /// that is still being made is kept for other requests, else it is closed.
  void Cancel();
  /// Closes the connection. The current request ends with `kAnswerLost`, or
  /// with `kEndpointUnreachable` if the connection is not yet made.
  void Close();

  /// Closes the connection if it has been idle for too long.
  void CloseIfStale(clock::time_point now);

  /// Whether the response to `request` can be told from a repetition of an
  /// earlier one on this connection.
  bool MayCarry(const client_request& request) const;

  /// Closes this idle connection if the peer has closed it, or has sent bytes,
  /// which belong to no request. Returns whether it did.
  bool CloseIfReadable();

  connection_id id() const { return id_; }
  bool is_open() const { return state_ != state::kClosed; }
  bool is_idle() const { return state_ == state::kIdle; }
  /// Whether the current request is still being written, or a part of its
  /// response has been read.
  bool is_in_transfer() const {
    return state_ == state::kBusy && (!is_write_done_ || read_bytes_ > 0);
  }

 private:
  enum class state : std::uint8_t { kConnecting, kIdle, kBusy, kClosed };

  void OnConnected(error_code error);
  void Write();
  void OnWritten(error_code error);
  void Read();
  void OnRead(error_code error, std::size_t size);
  void Parse();
  void PrepareParser();
  /// Accounts for the memory of the response body. Returns whether there is
  /// enough.
  bool ReserveBodyMemory();
  void ReleaseBodyMemory();
  void Complete();
  /// An exception has left the connection in an unknown state.
  void FailInternally();
  void Fail(error_kind kind, execution_state execution, bool by_peer);
  void OnDisconnected(error_code error);
  /// Whether the response that was read belongs to the current request.
  bool MatchesRequest() const;
  /// Remembers what the response names. Returns whether a repetition of it can
  /// be told from the responses to later requests.
  bool CanTellRepetitions();
  /// When the connection is to be closed if it stays idle from now on.
  clock::time_point IdleDeadline() const;
  void StartConnectTimer();
  void CloseSocket(bool by_peer);

  tcp::socket socket_;
  asio::steady_timer connect_timer_;
  connection_id id_;
  const connection_handlers& handlers_;
  state state_ = state::kConnecting;
  client_request request_;
  /// Start line and header of the request, as they are written.
  std::string header_;
  beast::flat_buffer buffer_;
  std::optional<response_parser> parser_;
  clock::time_point idle_deadline_;
  /// Hashes of the ids of requests that failed on this connection.
  std::vector<std::size_t> failed_ids_;
  /// Bytes read since the request was sent, including what was discarded.
  std::size_t read_bytes_ = 0;
  /// Interim responses read since the request was sent.
  std::size_t interim_responses_ = 0;
  std::size_t reserved_bytes_ = 0;
  bool is_reading_ = false;
  /// The request was cancelled while the connection was still being made.
  bool is_cancelled_ = false;
  /// The request was written completely.
  bool is_write_done_ = true;
  /// The connection failed while the request was written, so that its end does
  /// not tell whether a response without a length is complete.
  bool is_broken_ = false;
  /// Set when a response to another request was read, or when the peer's close
  /// ended the response.
  bool must_not_reuse_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_CLIENT_CONNECTION_H_
