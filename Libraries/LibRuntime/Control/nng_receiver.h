#ifndef LIBRUNTIME_CONTROL_NNG_RECEIVER_H_
#define LIBRUNTIME_CONTROL_NNG_RECEIVER_H_

#include <nng/nng.h>

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace auburnfold {

/// An error code of nng with its description.
struct nng_error {
  int code = 0;
  std::string reason;
};

/// A pull socket whose messages are delivered on an io_context.
class nng_receiver {
 public:
  using bytes_handler = std::function<void(std::vector<std::uint8_t>)>;

  nng_receiver(boost::asio::io_context& io, bytes_handler on_bytes);
  ~nng_receiver();
  nng_receiver(const nng_receiver&) = delete;
  nng_receiver& operator=(const nng_receiver&) = delete;

  /// Fails with `nng_error`.
  boost::leaf::result<void> Listen(const std::string& host, std::uint16_t port);
  void Close();

  /// The port that it listens on; 0 if it does not listen.
  std::uint16_t port() const;

 private:
  static void OnReceived(void* self);
  void Receive();

  boost::asio::io_context& io_;
  bytes_handler on_bytes_;
  nng_socket socket_ = NNG_SOCKET_INITIALIZER;
  nng_listener listener_ = NNG_LISTENER_INITIALIZER;
  nng_aio* aio_ = nullptr;
  bool is_open_ = false;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_NNG_RECEIVER_H_
