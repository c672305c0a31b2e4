#include "LibClient/node_connection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <utility>

#include "LibWire/header_names.h"

namespace auburnfold {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Shorter than the idle timeout of a node, so that the client does not send on
// a connection that the node is closing.
constexpr std::chrono::seconds kIdleTimeout{45};
// The retry goes to another node, which may be reachable, so it need not wait.
constexpr std::chrono::milliseconds kConnectFailureRetryDelay{0};
constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
// Bodies are taken out of the buffer as they arrive. The parser does not limit
// chunk extensions and trailers, which it buffers whole.
constexpr std::size_t kMaxBufferedBytes = std::size_t{64} * 1024;

call_result MakeFailure(error_kind kind, execution_state execution) {
  call_result result;
  result.error = kind;
  result.execution = execution;
  return result;
}

execution_state ParseExecutionState(std::string_view text) {
  for (const execution_state state :
       {execution_state::kNotExecuted, execution_state::kExecuted}) {
    if (text == NameOf(state)) {
      return state;
    }
  }
  return execution_state::kUnknown;
}

std::optional<std::chrono::milliseconds> ParseRetryAfter(
    std::string_view text) {
  constexpr std::int64_t kMaxRetryAfterMs = 86'400'000;
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < 0 ||
      value > kMaxRetryAfterMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

call_result ToCallResult(http::response<http::string_body> response) {
  call_result result;
  result.status = response.result_int();
  const std::string_view result_name = response[kResultHeader];
  result.execution = ParseExecutionState(response[kRanHeader]);
  if (result_name != kCompleteResult) {
    result.error = ParseErrorKind(result_name).value_or(error_kind::kInternal);
    result.retry_after = ParseRetryAfter(response[kRetryAfterMsHeader]);
  }
  for (const auto& field : response) {
    result.headers.emplace_back(field.name_string(), field.value());
  }
  result.body = std::move(response.body());
  return result;
}

error_kind ErrorKindOf(const beast::error_code& error, bool has_received) {
  if (error == beast::error::timeout) {
    return error_kind::kAnswerTimeout;
  }
  if (error == http::error::body_limit || error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return error_kind::kAnswerTooLarge;
  }
  return has_received ? error_kind::kAnswerTruncated : error_kind::kAnswerLost;
}

}  // namespace

node_connection::node_connection(asio::io_context& io, call_address address)
    : io_(io), address_(std::move(address)), stream_(io) {}

call_result node_connection::Exchange(const request_type& request,
                                      clock::time_point deadline) {
  if (!IsUsable() && !Connect(deadline)) {
    call_result result = MakeFailure(error_kind::kEndpointUnreachable,
                                     execution_state::kNotExecuted);
    result.retry_after = kConnectFailureRetryDelay;
    return result;
  }
  call_result result = Send(request, deadline);
  last_used_ = clock::now();
  return result;
}

bool node_connection::Connect(clock::time_point deadline) {
  is_connected_ = false;
  beast::error_code error;
  const asio::ip::address host = asio::ip::make_address(address_.host, error);
  if (error) {
    return false;
  }
  stream_.close();
  stream_.expires_at(deadline);
  stream_.async_connect(asio::ip::tcp::endpoint(host, address_.port),
                        [&error](const beast::error_code& operation_error) {
                          error = operation_error;
                        });
  RunPendingOperation();
  if (error) {
    return false;
  }
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  is_connected_ = true;
  return true;
}

// An idle connection has no response to read. If bytes or an end of stream are
// pending, the node has closed the connection, so it cannot be reused.
bool node_connection::IsUsable() {
  if (!is_connected_ || clock::now() - last_used_ > kIdleTimeout) {
    return false;
  }
  beast::error_code error;
  char byte = 0;
  stream_.socket().non_blocking(true, error);
  stream_.socket().receive(asio::buffer(&byte, 1),
                           asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

call_result node_connection::Send(const request_type& request,
                                  clock::time_point deadline) {
  // The connection is reused only after a complete response.
  is_connected_ = false;
  beast::error_code error;
  stream_.expires_at(deadline);
  http::async_write(stream_, request,
                    [&error](const beast::error_code& operation_error,
                             std::size_t) { error = operation_error; });
  RunPendingOperation();
  beast::flat_buffer buffer(kMaxBufferedBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  parser.header_limit(kMaxHeaderBytes);
  parser.skip(request.method() == http::verb::head);
  if (!error) {
    http::async_read(stream_, buffer, parser,
                     [&error](const beast::error_code& operation_error,
                              std::size_t) { error = operation_error; });
    RunPendingOperation();
  }
  if (error) {
    stream_.close();
    return MakeFailure(ErrorKindOf(error, parser.got_some()),
                       execution_state::kUnknown);
  }
  if (parser.need_eof()) {
    // The response has no length, so a truncated one looks complete.
    return MakeFailure(error_kind::kAnswerTruncated, execution_state::kUnknown);
  }
  is_connected_ = parser.keep_alive() && buffer.size() == 0;
  return ToCallResult(parser.release());
}

void node_connection::RunPendingOperation() {
  io_.restart();
  io_.run();
}

}  // namespace auburnfold
