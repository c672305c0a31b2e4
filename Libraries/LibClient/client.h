#ifndef LIBCLIENT_CLIENT_H_
#define LIBCLIENT_CLIENT_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibClient/client_answer.h"
#include "LibClient/client_call.h"

namespace auburnfold {

/// Where a node takes calls. `host` is an IP number.
struct call_address {
  std::string host;
  std::uint16_t port = 0;
};

/// How a client behaves towards all its calls.
struct client_options {
  /// At least one. A call starts at the node after the last one that failed.
  std::vector<call_address> nodes;
  /// Most sends of one call, the first included; 1 to 16.
  std::uint16_t most_sends = 3;
  /// Waits between sends.
  std::function<void(std::chrono::milliseconds)> wait;
};

/// Calls services through nodes, one call at a time; for one thread. Sends a
/// call again only if no send has run, or if running it again is harmless or
/// its key prevents it; never before the time that a node named, and never
/// more often than the options allow.
class client {
 public:
  explicit client(client_options options);
  ~client();
  client(const client&) = delete;
  client& operator=(const client&) = delete;

  client_answer Call(const client_call& call);

  /// Obtains a key for one call that is not idempotent. Fails with the
  /// `client_answer` that it got instead.
  boost::leaf::result<idempotency_key> ObtainKey(
      const service_name& service,
      const class_name& request_class,
      std::chrono::milliseconds timeout);

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace auburnfold

#endif  // LIBCLIENT_CLIENT_H_
