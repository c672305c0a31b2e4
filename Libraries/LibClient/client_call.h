#ifndef LIBCLIENT_CLIENT_CALL_H_
#define LIBCLIENT_CLIENT_CALL_H_

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/ids.h"

namespace auburnfold {

/// A call of a service through any node.
struct client_call {
  service_name service;
  class_name request_class;
  tenant_name tenant{std::string("default")};
  std::string method = "POST";
  std::string target = "/";
  /// Headers that the endpoint shall see, besides the call's own.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  /// Time for the whole call with all its resends; 1 ms to 10 min.
  std::chrono::milliseconds timeout{1'000};
  /// Running the call again does no harm.
  bool is_idempotent = false;
  /// From `client::ObtainKey`; makes resends safe that are not idempotent.
  std::optional<idempotency_key> key;
};

}  // namespace auburnfold

#endif  // LIBCLIENT_CLIENT_CALL_H_
