#ifndef LIBRUNTIME_CONNECTIONS_HTTP_TYPES_H_
#define LIBRUNTIME_CONNECTIONS_HTTP_TYPES_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

#include "LibDecision/Calls/answer_sizes.h"
#include "LibDecision/Routes/route.h"

namespace auburnfold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;
/// A request that does not own its body.
using http_request_view = http::request<http::span_body<const char>>;

/// HTTP/1.1 in Beast's encoding of versions.
inline constexpr unsigned kHttp11 = 11;
/// Maximum body size of a response, and of a request while no configuration
/// sets another.
inline constexpr std::size_t kMaxBodyBytes = kMaxAnswerBytes;
/// Maximum size of the start line and headers of a response, and of a request
/// while no configuration sets another.
inline constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
/// Maximum size of the headers that a node adds to a message on its way to
/// another node.
inline constexpr std::size_t kMaxAddedHeaderBytes = std::size_t{4} * 1024;
/// Maximum size of all response bodies that are read at once from other nodes,
/// and from the endpoint; a part of the memory of the smallest VMs.
inline constexpr std::size_t kMaxResponseMemoryBytes = 32 * kMaxBodyBytes;
/// Maximum size of all request bodies that are held at once from callers, and
/// from other nodes.
inline constexpr std::size_t kMaxRequestMemoryBytes =
    caller_limits::kMaxBodyBytes;
/// Buffer space offered to each read.
inline constexpr std::size_t kReadChunkBytes = std::size_t{8} * 1024;

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_HTTP_TYPES_H_
