#ifndef LIBCLIENT_NODE_CONNECTION_H_
#define LIBCLIENT_NODE_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>

#include "LibClient/client.h"

namespace auburnfold {

/// A persistent connection to one node, opened on demand.
class node_connection {
 public:
  using clock = std::chrono::steady_clock;
  using request_type =
      boost::beast::http::request<boost::beast::http::string_body>;

  node_connection(boost::asio::io_context& io, call_address address);

  /// Sends `request` and waits for its response until `deadline`. Failures are
  /// reported in the result.
  call_result Exchange(const request_type& request, clock::time_point deadline);

 private:
  bool Connect(clock::time_point deadline);
  bool IsUsable();
  call_result Send(const request_type& request, clock::time_point deadline);
  /// Blocks until the one pending asynchronous operation has completed.
  void RunPendingOperation();

  boost::asio::io_context& io_;
  call_address address_;
  boost::beast::tcp_stream stream_;
  clock::time_point last_used_;
  bool is_connected_ = false;
};

}  // namespace auburnfold

#endif  // LIBCLIENT_NODE_CONNECTION_H_
