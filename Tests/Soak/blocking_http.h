#ifndef TESTS_SOAK_BLOCKING_HTTP_H_
#define TESTS_SOAK_BLOCKING_HTTP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace auburnfold::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using http_response = http::response<http::string_body>;

/// An address on loopback.
tcp::endpoint Local(std::uint16_t port);

/// Waits until `socket` can be read, or has ended. Returns whether it can
/// before `timeout` is over.
bool WaitReadable(tcp::socket& socket, std::chrono::milliseconds timeout);
/// Whether the other side has closed `socket`, also behind unread bytes.
bool HasPeerClosed(tcp::socket& socket);

/// The text of a request with `body`, whose lines of the header are `fields`,
/// each with its end.
std::string RequestText(const std::string& method,
                        const std::string& target,
                        const std::string& fields,
                        const std::string& body);

/// A request as it was read, with fields of any length.
struct plain_request {
  std::string method;
  std::string target;
  /// By name in lower case; of several fields with a name, the first.
  std::map<std::string, std::string> fields;
  std::string body;

  /// Empty if the field is absent. `name` is in lower case.
  std::string Field(const std::string& name) const;
};

/// Reads the next request, whose body has a Content-Length. `buffer` keeps what
/// was read beyond it. Nothing if the connection ends before.
std::optional<plain_request> ReadRequest(tcp::socket& socket,
                                         std::string& buffer);

/// Makes one call over a connection of its own. Returns the status of the
/// answer; 0 if there is none within `timeout`.
unsigned Call(std::uint16_t port,
              const std::string& request,
              std::chrono::milliseconds timeout);

}  // namespace auburnfold::soak

#endif  // TESTS_SOAK_BLOCKING_HTTP_H_
