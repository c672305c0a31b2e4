#ifndef LIBRUNTIME_CONTROL_NNG_SENDER_H_
#define LIBRUNTIME_CONTROL_NNG_SENDER_H_

#include <nng/nng.h>

#include <cstdint>
#include <span>
#include <string>

namespace auburnfold {

/// A push socket to one node. nng connects and reconnects it in the background.
class nng_sender {
 public:
  nng_sender(const std::string& host, std::uint16_t port);
  ~nng_sender();
  nng_sender(const nng_sender&) = delete;
  nng_sender& operator=(const nng_sender&) = delete;

  /// Queues a message without blocking. Returns false if the message is lost.
  bool Send(std::span<const std::uint8_t> bytes);

 private:
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  bool is_open_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_NNG_SENDER_H_
