#include "blocking_http.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace auburnfold::soak {

namespace {

constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024 * 1024;
constexpr const char* kHeaderEnd = "\r\n\r\n";

}  // namespace

tcp::endpoint Local(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

bool WaitReadable(tcp::socket& socket, std::chrono::milliseconds timeout) {
  pollfd state{socket.native_handle(), POLLIN, 0};
  return poll(&state, 1, static_cast<int>(timeout.count())) > 0;
}

bool HasPeerClosed(tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

std::string RequestText(const std::string& method,
                        const std::string& target,
                        const std::string& fields,
                        const std::string& body) {
  return method + ' ' + target + " HTTP/1.1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string plain_request::Field(const std::string& name) const {
  const auto found = fields.find(name);
  return found == fields.end() ? std::string() : found->second;
}

// Not the parser of the nodes, whose faults it would share.
std::optional<plain_request> ReadRequest(tcp::socket& socket,
                                         std::string& buffer) {
  boost::system::error_code error;
  const std::size_t header_size = asio::read_until(
      socket, asio::dynamic_buffer(buffer, kMaxHeaderBytes), kHeaderEnd, error);
  if (error) {
    return std::nullopt;
  }
  std::istringstream header(buffer.substr(0, header_size));
  buffer.erase(0, header_size);
  plain_request request;
  std::string line;
  header >> request.method >> request.target;
  std::getline(header, line);
  while (std::getline(header, line)) {
    const std::size_t colon = line.find(':');
    const std::size_t first = line.find_first_not_of(" \t", colon + 1);
    const std::size_t last = line.find_last_not_of(" \t\r");
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](char letter) {
      return static_cast<char>(
          std::tolower(static_cast<unsigned char>(letter)));
    });
    request.fields.emplace(name, first > last
                                     ? std::string()
                                     : line.substr(first, last + 1 - first));
  }
  const std::size_t size =
      std::strtoull(request.Field("content-length").c_str(), nullptr, 10);
  if (buffer.size() < size) {
    asio::read(socket, asio::dynamic_buffer(buffer),
               asio::transfer_exactly(size - buffer.size()), error);
  }
  if (error) {
    return std::nullopt;
  }
  request.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return request;
}

unsigned Call(std::uint16_t port,
              const std::string& request,
              std::chrono::milliseconds timeout) {
  asio::io_context io;
  tcp::socket socket(io);
  boost::system::error_code error;
  socket.connect(Local(port), error);
  if (!error) {
    asio::write(socket, asio::buffer(request), error);
  }
  if (error || !WaitReadable(socket, timeout)) {
    return 0;
  }
  boost::beast::flat_buffer buffer;
  http_response response;
  http::read(socket, buffer, response, error);
  return error ? 0 : response.result_int();
}

}  // namespace auburnfold::soak
