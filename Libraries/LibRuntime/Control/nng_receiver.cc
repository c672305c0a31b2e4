#include "LibRuntime/Control/nng_receiver.h"

#include <nng/protocol/pipeline0/pull.h>

#include <boost/asio/post.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/leaf/error.hpp>
#include <utility>

#include "LibWire/message_codec.h"

namespace auburnfold {

namespace {

boost::leaf::error_id Fail(int code) {
  return boost::leaf::new_error(nng_error{code, nng_strerror(code)});
}

}  // namespace

nng_receiver::nng_receiver(boost::asio::io_context& io, bytes_handler on_bytes)
    : io_(io), on_bytes_(std::move(on_bytes)) {}

nng_receiver::~nng_receiver() {
  Close();
}

boost::leaf::result<void> nng_receiver::Listen(const std::string& host,
                                               std::uint16_t port) {
  if (const int code = nng_pull0_open(&socket_); code != 0) {
    return Fail(code);
  }
  is_open_ = true;
  nng_socket_set_size(socket_, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  if (const int code = nng_aio_alloc(&aio_, &OnReceived, this); code != 0) {
    return Fail(code);
  }
  const std::string url = "tcp://" + host + ":" + std::to_string(port);
  if (const int code = nng_listen(socket_, url.c_str(), &listener_, 0);
      code != 0) {
    return Fail(code);
  }
  Receive();
  return {};
}

void nng_receiver::Close() {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  if (aio_ != nullptr) {
    // Blocks until no callback is running.
    nng_aio_stop(aio_);
    nng_aio_free(aio_);
    aio_ = nullptr;
  }
  nng_close(socket_);
}

std::uint16_t nng_receiver::port() const {
  nng_sockaddr address;
  if (!is_open_ ||
      nng_listener_get_addr(listener_, NNG_OPT_LOCADDR, &address) != 0) {
    return 0;
  }
  // The port is at the same offset in the IPv4 and IPv6 forms.
  return boost::endian::big_to_native(address.s_in.sa_port);
}

// Runs on one of nng's threads. The next message is requested only after this
// one has been handled, so that a flood of messages stays in the socket buffers
// instead of filling this process's memory.
void nng_receiver::OnReceived(void* self) {
  auto* receiver = static_cast<nng_receiver*>(self);
  if (nng_aio_result(receiver->aio_) != 0) {
    return;
  }
  nng_msg* message = nng_aio_get_msg(receiver->aio_);
  const auto* first = static_cast<const std::uint8_t*>(nng_msg_body(message));
  std::vector<std::uint8_t> bytes(first, first + nng_msg_len(message));
  nng_msg_free(message);
  boost::asio::post(receiver->io_,
                    [receiver, bytes = std::move(bytes)]() mutable {
                      if (receiver->is_open_) {
                        receiver->on_bytes_(std::move(bytes));
                        receiver->Receive();
                      }
                    });
}

void nng_receiver::Receive() {
  nng_recv_aio(socket_, aio_);
}

}  // namespace auburnfold
