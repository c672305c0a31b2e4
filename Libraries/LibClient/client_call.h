#ifndef LIBCLIENT_CLIENT_CALL_H_
#define LIBCLIENT_CLIENT_CALL_H_

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/ids.h"

namespace auburnfold {

/// A call to a service; any node can route it.
struct client_call {
  service_name service;
  class_name request_class;
  tenant_name tenant{std::string("default")};
  std::string method = "POST";
  std::string target = "/";
  /// Additional headers to send to the endpoint.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Maximum time for the call including its retries; 1 ms to 10 min.
  std::chrono::milliseconds timeout{1'000};
  /// Executing the call more than once is harmless.
  bool is_idempotent = false;
  /// From `client::RequestIdempotencyKey`; makes it safe to retry a call that
  /// is not idempotent.
  std::optional<idempotency_key> key;
};

}  // namespace auburnfold

#endif  // LIBCLIENT_CLIENT_CALL_H_
