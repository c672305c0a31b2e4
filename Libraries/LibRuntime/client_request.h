#ifndef LIBRUNTIME_CLIENT_REQUEST_H_
#define LIBRUNTIME_CLIENT_REQUEST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

/// How a request ended on the wire.
struct client_result {
  /// Unset: `response` is whole.
  std::optional<error_kind> error;
  /// What is certain about this send, from the bytes alone.
  execution_state execution = execution_state::kExecuted;
  http_response response;
};

/// A request to be sent over a connection of a pool.
struct client_request {
  http_request_view message;
  /// The value that the answer must repeat in this header, if both are set:
  /// another answer belongs to another request.
  std::string_view echoed_header;
  std::string echoed_value;
  /// An answer without a length ends with its connection.
  bool may_end_with_connection = false;
  /// Keeps what `message`'s body points to.
  std::shared_ptr<const void> body_owner;
  /// Called right before the first byte is written.
  std::function<void(connection_id)> on_sending;
  /// Called once, unless the request is cancelled.
  std::function<void(client_result)> on_finished;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CLIENT_REQUEST_H_
