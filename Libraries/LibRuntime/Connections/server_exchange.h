#ifndef LIBRUNTIME_CONNECTIONS_SERVER_EXCHANGE_H_
#define LIBRUNTIME_CONNECTIONS_SERVER_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibDecision/ids.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

class server_session;

/// A request that was read from a connection, and the response to it. Without
/// effect once the response is written or the connection is closed.
class server_exchange {
 public:
  using clock = std::chrono::steady_clock;

  explicit server_exchange(std::weak_ptr<server_session> session);

  /// Calls `on_disconnect` if the request will not be answered: the peer
  /// disconnects, or the response to an earlier request closes the connection.
  void SetDisconnectHandler(std::function<void()> on_disconnect);
  /// Calls `on_disconnect`, as if the peer had disconnected. The request can
  /// still be answered.
  void Abandon();
  /// Calls `on_turn` when all earlier requests on the connection are answered.
  /// Until then no request behind this one is handed over.
  void Defer(std::function<void()> on_turn);

  /// Bytes that may still be reserved for expected responses, on all
  /// connections.
  std::size_t ResponseRoom() const;
  /// Reserves memory for the response that is expected, if there is enough.
  void ReserveExpected(std::size_t body_bytes);
  /// Reserves memory for the response until it is written, in place of what was
  /// reserved for the expected one. Returns whether there is enough; for a
  /// small one there always is.
  bool ReserveResponse(std::size_t body_bytes);
  /// Sends the response after those to all earlier requests.
  void Respond(http_response response);
  /// As above. No more requests are handed over, and the connection closes
  /// after the last response to those that were.
  void RespondAndDrain(http_response response);
  /// As above, then closes the connection. Requests behind this one are
  /// dropped: their peer takes them as not read.
  void RespondAndClose(http_response response);
  /// Closes the connection at once, without calling `on_disconnect` of this
  /// request.
  void CloseConnection();
  /// Drops this request and those behind it, and closes the connection after
  /// the responses to earlier ones. Does not call `on_disconnect` of this
  /// request.
  void EndConnection();

  /// Number of earlier requests on the connection that are not answered yet.
  std::size_t CountBefore() const;
  /// The call of the last earlier request that is not answered yet and became
  /// one.
  std::optional<call_id> CallBefore() const;
  void set_call(call_id call) { call_ = call; }
  /// Names the request in the report of a response that is not delivered. Its
  /// sender waits for the response until `deadline`.
  void SetRequest(request_id request, clock::time_point deadline);
  bool has_response() const { return response_.has_value(); }
  /// When the whole request was read.
  clock::time_point read_at() const { return read_at_; }

  /// Whether the peer's close has arrived, also if it is not yet reported to
  /// the disconnect handler.
  bool HasPeerClosed() const;
  /// The IP address of the peer; empty if it has disconnected.
  std::string peer_host() const;

 private:
  friend class server_session;

  std::weak_ptr<server_session> session_;
  /// Set until the request is handed over.
  std::optional<http_request> request_;
  std::optional<http_response> response_;
  std::optional<call_id> call_;
  request_id request_id_;
  clock::time_point deadline_{};
  std::function<void()> on_disconnect_;
  std::function<void()> on_turn_;
  clock::time_point read_at_ = clock::now();
  http::verb method_ = http::verb::unknown;
  /// Memory reserved for the request, and for the part of the response that was
  /// not expected.
  std::size_t reserved_bytes_ = 0;
  /// Memory reserved for the expected response.
  std::size_t expected_bytes_ = 0;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_SERVER_EXCHANGE_H_
