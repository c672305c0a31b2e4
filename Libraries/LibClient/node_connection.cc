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

// Shorter than the time after which a node closes an idle connection.
constexpr std::chrono::seconds kIdleLimit{45};
// Tried again soon, since another node may be reachable.
constexpr std::chrono::milliseconds kAfterNotConnected{0};
constexpr std::size_t kBodyLimitBytes = std::size_t{1024} * 1024;
constexpr std::size_t kHeaderLimitBytes = std::size_t{16} * 1024;

client_answer Failure(error_kind kind, execution_state execution) {
  client_answer answer;
  answer.error = kind;
  answer.execution = execution;
  return answer;
}

execution_state ReadExecutionState(std::string_view text) {
  for (const execution_state state :
       {execution_state::kNotExecuted, execution_state::kExecuted}) {
    if (text == NameOf(state)) {
      return state;
    }
  }
  return execution_state::kUnknown;
}

std::optional<std::chrono::milliseconds> ReadRetryAfter(std::string_view text) {
  constexpr std::int64_t kLongestMs = 86'400'000;
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, value);
  if (read.ec != std::errc() || read.ptr != end || value < 0 ||
      value > kLongestMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(value);
}

client_answer ReadAnswer(http::response<http::string_body> response) {
  client_answer answer;
  answer.status = response.result_int();
  const std::string_view result = response[kResultHeader];
  answer.execution = ReadExecutionState(response[kRanHeader]);
  if (result != kCompleteResult) {
    answer.error = ParseErrorKind(result).value_or(error_kind::kInternal);
    answer.retry_after = ReadRetryAfter(response[kRetryAfterMsHeader]);
  }
  for (const auto& field : response) {
    answer.headers.emplace_back(field.name_string(), field.value());
  }
  answer.body = std::move(response.body());
  return answer;
}

error_kind KindOf(const beast::error_code& error, bool got_some) {
  if (error == beast::error::timeout) {
    return error_kind::kAnswerTimeout;
  }
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return error_kind::kAnswerTooLarge;
  }
  return got_some ? error_kind::kAnswerTruncated : error_kind::kAnswerLost;
}

}  // namespace

node_connection::node_connection(asio::io_context& io, call_address address)
    : io_(io), address_(std::move(address)), stream_(io) {}

client_answer node_connection::Exchange(const request_type& request,
                                        clock::time_point deadline) {
  if (!IsUsable() && !Connect(deadline)) {
    client_answer answer = Failure(error_kind::kEndpointUnreachable,
                                   execution_state::kNotExecuted);
    answer.retry_after = kAfterNotConnected;
    return answer;
  }
  client_answer answer = Send(request, deadline);
  last_used_ = clock::now();
  return answer;
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
  stream_.async_connect(
      asio::ip::tcp::endpoint(host, address_.port),
      [&error](const beast::error_code& result) { error = result; });
  Run();
  if (error) {
    return false;
  }
  stream_.socket().set_option(asio::ip::tcp::no_delay(true), error);
  is_connected_ = true;
  return true;
}

// A kept connection with bytes or an end to read is of no use: nothing was
// asked, so that the node has closed it.
bool node_connection::IsUsable() {
  if (!is_connected_ || clock::now() - last_used_ > kIdleLimit) {
    return false;
  }
  beast::error_code error;
  char byte = 0;
  stream_.socket().non_blocking(true, error);
  stream_.socket().receive(asio::buffer(&byte, 1),
                           asio::socket_base::message_peek, error);
  return error == asio::error::would_block;
}

client_answer node_connection::Send(const request_type& request,
                                    clock::time_point deadline) {
  // Closed unless the whole answer comes.
  is_connected_ = false;
  beast::error_code error;
  stream_.expires_at(deadline);
  http::async_write(stream_, request,
                    [&error](const beast::error_code& result, std::size_t) {
                      error = result;
                    });
  Run();
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kBodyLimitBytes);
  parser.header_limit(kHeaderLimitBytes);
  parser.skip(request.method() == http::verb::head);
  if (!error) {
    http::async_read(stream_, buffer, parser,
                     [&error](const beast::error_code& result, std::size_t) {
                       error = result;
                     });
    Run();
  }
  if (error) {
    stream_.close();
    return Failure(KindOf(error, parser.got_some()), execution_state::kUnknown);
  }
  if (parser.need_eof()) {
    // Nothing says where the answer ends, so that it may be a part.
    return Failure(error_kind::kAnswerTruncated, execution_state::kUnknown);
  }
  is_connected_ = parser.keep_alive() && buffer.size() == 0;
  return ReadAnswer(parser.release());
}

void node_connection::Run() {
  io_.restart();
  io_.run();
}

}  // namespace auburnfold
