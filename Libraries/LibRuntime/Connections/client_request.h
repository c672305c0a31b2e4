#ifndef LIBRUNTIME_CONNECTIONS_CLIENT_REQUEST_H_
#define LIBRUNTIME_CONNECTIONS_CLIENT_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// How a request over a connection ended.
struct client_result {
  /// Unset if `response` is complete.
  std::optional<error_kind> error;
  /// Whether the peer executed the request, as far as the bytes written and
  /// read show.
  execution_state execution = execution_state::kExecuted;
  /// The peer closed the connection, or refused it.
  bool is_closed_by_peer = false;
  http_response response;
};

/// A request to send over a connection of a pool.
struct client_request {
  http_request_view message;
  /// The header in which the peer's responses name their requests; empty if
  /// they name none. A response with another value there than `echoed_value`
  /// belongs to another request and is discarded. After a response without a
  /// value there, the connection is not reused.
  std::string_view echoed_header;
  /// Empty if the request has no id, so that its response names none.
  std::string echoed_value;
  /// A response without a length ends when the peer closes the connection.
  bool allows_close_delimited_response = false;
  /// Only opens a connection, which then takes other requests. Ends without an
  /// error once it is open.
  bool is_connect_only = false;
  /// Keeps the memory alive that the body of `message` points to.
  std::shared_ptr<const void> body_owner;
  /// Called right before the first byte is written.
  std::function<void(connection_id)> on_sending;
  /// Called once, unless the request is cancelled.
  std::function<void(client_result)> on_finished;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_CLIENT_REQUEST_H_
