#include "LibPlatform/store_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <exception>
#include <utility>
#include <variant>

#include "LibPlatform/store_protocol.h"

namespace auburnfold {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// A listing of every row with its history, at the size of 220 services.
constexpr std::uint64_t kLongestAnswerBytes = 16 << 20;
constexpr int kHttp11 = 11;
constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

http::request<http::string_body> MakeRequest(const store_address& address,
                                             const store_request& request) {
  store_http_request wanted = ToHttp(request);
  const http::verb verb = wanted.is_put ? http::verb::put : http::verb::get;
  http::request<http::string_body> made(verb, wanted.target, kHttp11);
  made.set(http::field::host,
           address.host + ":" + std::to_string(address.port));
  made.keep_alive(false);
  made.body() = std::move(wanted.body);
  made.prepare_payload();
  return made;
}

store_result NoChange(const store_watch& watch) {
  return {.status = store_status::kDone, .revision = watch.after};
}

// A connection that an earlier call left open may have gone silent, so every
// call opens its own: calls are rare, and a failure to connect is certainly
// without effect.
asio::awaitable<store_result> Exchange(store_address address,
                                       store_timeouts timeouts,
                                       store_request request) {
  const store_result unreached{.status = store_status::kUnavailable};
  beast::error_code bad_host;
  const auto host = asio::ip::make_address(address.host, bad_host);
  if (bad_host) {
    co_return unreached;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeouts.connect);
  const auto [connect_error] = co_await stream.async_connect(
      asio::ip::tcp::endpoint(host, address.port), kAsTuple);
  if (connect_error) {
    co_return unreached;
  }
  const auto* watch = std::get_if<store_watch>(&request);
  stream.expires_after(watch != nullptr ? timeouts.watch : timeouts.answer);
  const auto sent = MakeRequest(address, request);
  const auto [write_error, written] =
      co_await http::async_write(stream, sent, kAsTuple);
  if (write_error) {
    co_return LostAnswerTo(request);
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kLongestAnswerBytes);
  const auto [read_error, read] =
      co_await http::async_read(stream, buffer, parser, kAsTuple);
  if (watch != nullptr && read_error == beast::error::timeout) {
    co_return NoChange(*watch);
  }
  if (read_error) {
    co_return LostAnswerTo(request);
  }
  co_return FromHttp(request, parser.get().result_int(), parser.get().body());
}

}  // namespace

store_client::store_client(asio::any_io_executor executor,
                           store_address address,
                           store_timeouts timeouts)
    : executor_(std::move(executor)),
      address_(std::move(address)),
      timeouts_(timeouts) {}

store_client::~store_client() = default;

void store_client::Call(store_request request, handler done) {
  const store_result lost = LostAnswerTo(request);
  asio::co_spawn(
      executor_, Exchange(address_, timeouts_, std::move(request)),
      [lost, done = std::move(done), lifetime = std::weak_ptr<int>(lifetime_)](
          const std::exception_ptr& failure, const store_result& result) {
        if (lifetime.expired()) {
          return;
        }
        done(failure ? lost : result);
      });
}

}  // namespace auburnfold
