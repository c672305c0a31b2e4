#ifndef AUBURNFOLD_LOAD_HTTP_CONNECTION_H_
#define AUBURNFOLD_LOAD_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "auburnfold-load/http_types.h"

namespace auburnfold {

/// How an exchange of one request and one answer ended.
enum class exchange_end : std::uint8_t {
  kAnswered,
  kNotConnected,  ///< No byte of the request was sent.
  kLost,          ///< The connection ended before the answer did.
  kTimedOut,
  kTruncated,  ///< The answer began and did not end.
};

struct exchange_result {
  exchange_end end = exchange_end::kAnswered;
  http_response response;
};

/// A client connection that carries one exchange at a time. Once an exchange
/// has ended without a whole answer the connection is closed for good.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  using on_end = std::function<void(exchange_result)>;
  using on_idle_close = std::function<void(http_connection&)>;
  using endpoint = boost::asio::ip::tcp::endpoint;

  http_connection(boost::asio::io_context& context, on_idle_close closed)
      : stream_(context), closed_(std::move(closed)) {}

  /// Connects first if necessary. `done` is called once, unless the exchange
  /// is dropped.
  void Exchange(const endpoint& peer,
                http_request request,
                std::chrono::nanoseconds timeout,
                on_end done);
  /// Closes the connection; an open exchange ends without a call of `done`.
  void Drop();

  bool is_open() const { return is_open_; }

 private:
  using error_code = boost::system::error_code;

  void OnConnected(error_code error);
  void Write();
  void Read();
  void OnRead(error_code error);
  void End(exchange_end how);
  void WatchForClose();
  void OnReadable();

  boost::beast::tcp_stream stream_;
  on_idle_close closed_;
  boost::beast::flat_buffer buffer_;
  http_request request_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  on_end done_;
  bool is_open_ = false;
  bool is_watched_ = false;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_HTTP_CONNECTION_H_
