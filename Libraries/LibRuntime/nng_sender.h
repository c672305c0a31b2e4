#ifndef LIBRUNTIME_NNG_SENDER_H_
#define LIBRUNTIME_NNG_SENDER_H_

#include <nng/nng.h>

#include <cstdint>
#include <span>
#include <string>

namespace auburnfold {

/// A push socket towards one node, which connects, and connects again, by
/// itself.
class nng_sender {
 public:
  nng_sender(const std::string& host, std::uint16_t port);
  ~nng_sender();
  nng_sender(const nng_sender&) = delete;
  nng_sender& operator=(const nng_sender&) = delete;

  /// Hands a message over without waiting; false if it is lost.
  bool Send(std::span<const std::uint8_t> bytes);

 private:
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  bool is_open_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_NNG_SENDER_H_
