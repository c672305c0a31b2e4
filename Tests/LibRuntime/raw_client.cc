#include "raw_client.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <thread>

#include "LibRuntime/Connections/http_types.h"

namespace auburnfold::testing_support {

std::string read_answer::Header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

constexpr std::uint32_t kMaxAnswerHeaderBytes = 64 * 1024;

struct raw_client::parts {
  asio::io_context io;
  tcp::socket socket{io};
  beast::flat_buffer buffer;

  int TcpState() {
    tcp_info info{};
    socklen_t size = sizeof(info);
    const int failed =
        getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
    return failed != 0 ? TCP_CLOSE : info.tcpi_state;
  }
};

raw_client::raw_client(std::uint16_t port, receive_window window)
    : parts_(std::make_unique<parts>()) {
  constexpr int kSmallWindowBytes = 8192;
  parts_->socket.open(tcp::v4());
  if (window == receive_window::kSmall) {
    parts_->socket.set_option(
        tcp::socket::receive_buffer_size(kSmallWindowBytes));
  }
  parts_->socket.connect({asio::ip::address_v4::loopback(), port});
}

raw_client::~raw_client() = default;

void raw_client::Write(std::string_view bytes) {
  error_code ignored;
  asio::write(parts_->socket, asio::buffer(bytes), ignored);
}

void raw_client::WaitForBytes() {
  parts_->socket.wait(tcp::socket::wait_read);
}

std::optional<read_answer> raw_client::Read(bool is_head) {
  http::response_parser<http::string_body> parser;
  parser.skip(is_head);
  parser.header_limit(kMaxAnswerHeaderBytes);
  error_code error;
  http::read(parts_->socket, parts_->buffer, parser, error);
  if (error) {
    return std::nullopt;
  }
  const http_response response = parser.release();
  read_answer answer{response.result_int(), {}, response.body()};
  for (const auto& field : response) {
    answer.headers[field.name_string()] = field.value();
  }
  return answer;
}

bool raw_client::ReadsEnd() {
  error_code error;
  char byte = 0;
  asio::read(parts_->socket, asio::buffer(&byte, 1), error);
  return error == asio::error::eof || error == asio::error::connection_reset;
}

bool raw_client::WaitUntilReceived() {
  int unacknowledged_bytes = 1;
  while (unacknowledged_bytes > 0 && parts_->TcpState() != TCP_CLOSE &&
         ioctl(parts_->socket.native_handle(), SIOCOUTQ,
               &unacknowledged_bytes) == 0) {
    std::this_thread::yield();
  }
  return parts_->TcpState() != TCP_CLOSE;
}

void raw_client::CloseAndWaitUntilReceived() {
  WaitUntilReceived();
  error_code ignored;
  parts_->socket.shutdown(tcp::socket::shutdown_send, ignored);
  while (parts_->TcpState() == TCP_FIN_WAIT1) {
    std::this_thread::yield();
  }
  Close();
}

void raw_client::Close() {
  parts_->socket.close();
}

read_answer raw_client::Exchange(std::uint16_t port, std::string_view bytes) {
  raw_client client(port);
  client.Write(bytes);
  return client.Read().value_or(read_answer{});
}

std::string CallText(std::string_view service,
                     std::string_view extra,
                     std::string_view body) {
  std::string text = "POST /call HTTP/1.1\r\nHost: test\r\n";
  text += "Auburnfold-Service: " + std::string(service) + "\r\n";
  text += "Auburnfold-Class: lookup\r\n";
  text += extra;
  if (extra.find("Auburnfold-Timeout-Ms") == std::string_view::npos) {
    text += "Auburnfold-Timeout-Ms: 30000\r\n";
  }
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  text += body;
  return text;
}

}  // namespace auburnfold::testing_support
