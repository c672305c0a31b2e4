#ifndef AUBURNFOLD_LOAD_HTTP_POOL_H_
#define AUBURNFOLD_LOAD_HTTP_POOL_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "auburnfold-load/http_address.h"
#include "auburnfold-load/http_connection.h"

namespace auburnfold {

/// Keep-alive connections to one server, the most recently used first.
class http_pool {
 public:
  using token = std::uint64_t;

  /// Throws boost::system::system_error if the host is not an IP number.
  http_pool(boost::asio::io_context& context, const http_address& server);

  /// Starts an exchange; `done` is called once, unless it is cancelled.
  token Send(http_request request,
             std::chrono::nanoseconds timeout,
             http_connection::on_end done);
  /// Gives an exchange up and closes its connection.
  void Cancel(token exchange);

  std::size_t busy_count() const { return busy_.size(); }

 private:
  using connection = std::shared_ptr<http_connection>;

  connection TakeConnection();
  void Forget(const http_connection& closed);

  boost::asio::io_context& context_;
  http_connection::endpoint server_;
  std::vector<connection> idle_;
  std::unordered_map<token, connection> busy_;
  token next_ = 1;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_HTTP_POOL_H_
