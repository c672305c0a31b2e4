#ifndef LIBCLIENT_CLIENT_H_
#define LIBCLIENT_CLIENT_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibClient/call_result.h"
#include "LibClient/client_call.h"

namespace auburnfold {

/// The address at which a node accepts calls. `host` is an IP address.
struct call_address {
  std::string host;
  std::uint16_t port = 0;
};

/// Settings that apply to every call of a client.
struct client_options {
  /// At least one. Each retry goes to the next node in the list, and later
  /// calls start there.
  std::vector<call_address> nodes;
  /// Maximum attempts for one call, including the first; 1 to 16.
  std::uint16_t max_attempts = 3;
  /// Blocks for the given delay before a retry; by default it sleeps.
  std::function<void(std::chrono::milliseconds)> wait;
};

/// Calls services through nodes, one call at a time. Not thread-safe.
///
/// Retries a call only if the last attempt was certainly not executed, or if it
/// may have been executed and the call is idempotent or has an idempotency key.
/// Before a retry, waits at least for the delay that the node named. Makes no
/// more attempts than the options allow.
class client {
 public:
  explicit client(client_options options);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  /// Returns the result of the last attempt. Blocks for at most the timeout of
  /// `call`.
  call_result Call(const client_call& call);

  /// Requests an idempotency key from a node, for one call that is not
  /// idempotent. Fails with the `call_result` of the request. Blocks for at
  /// most `timeout`, 1 ms to 10 min.
  boost::leaf::result<idempotency_key> RequestIdempotencyKey(
      const service_name& service,
      const class_name& request_class,
      std::chrono::milliseconds timeout);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace auburnfold

#endif  // LIBCLIENT_CLIENT_H_
