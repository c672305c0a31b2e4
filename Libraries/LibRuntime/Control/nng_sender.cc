#include "LibRuntime/Control/nng_sender.h"

#include <nng/protocol/pipeline0/push.h>

namespace auburnfold {

namespace {

constexpr int kSendBufferMessages = 16;
constexpr nng_duration kMinReconnectDelayMs = 100;
constexpr nng_duration kMaxReconnectDelayMs = 2'000;

}  // namespace

nng_sender::nng_sender(const std::string& host, std::uint16_t port) {
  if (nng_push0_open(&socket_) != 0) {
    return;
  }
  is_open_ = true;
  nng_socket_set_int(socket_, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_ms(socket_, NNG_OPT_RECONNMINT, kMinReconnectDelayMs);
  nng_socket_set_ms(socket_, NNG_OPT_RECONNMAXT, kMaxReconnectDelayMs);
  const std::string url = "tcp://" + host + ":" + std::to_string(port);
  nng_dial(socket_, url.c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

nng_sender::~nng_sender() {
  if (is_open_) {
    nng_close(socket_);
  }
}

bool nng_sender::Send(std::span<const std::uint8_t> bytes) {
  if (!is_open_) {
    return false;
  }
  nng_msg* message = nullptr;
  if (nng_msg_alloc(&message, 0) != 0) {
    return false;
  }
  const bool is_sent =
      nng_msg_append(message, bytes.data(), bytes.size()) == 0 &&
      nng_sendmsg(socket_, message, NNG_FLAG_NONBLOCK) == 0;
  if (!is_sent) {
    nng_msg_free(message);
  }
  return is_sent;
}

}  // namespace auburnfold
