#include "auburnfold-load/http_pool.h"

#include <boost/asio/ip/address.hpp>
#include <utility>

namespace auburnfold {

http_pool::http_pool(boost::asio::io_context& context,
                     const http_address& server)
    : context_(context),
      server_(boost::asio::ip::make_address(server.host), server.port) {}

http_pool::token http_pool::Send(http_request request,
                                 std::chrono::nanoseconds timeout,
                                 http_connection::on_end done) {
  const token exchange = next_++;
  const connection used = TakeConnection();
  busy_.emplace(exchange, used);
  used->Exchange(
      server_, std::move(request), timeout,
      [this, exchange, done = std::move(done)](exchange_result result) {
        const auto found = busy_.find(exchange);
        const connection used = found->second;
        busy_.erase(found);
        if (used->is_open()) {
          idle_.push_back(used);
        }
        done(std::move(result));
      });
  return exchange;
}

void http_pool::Cancel(token exchange) {
  const auto found = busy_.find(exchange);
  if (found == busy_.end()) {
    return;
  }
  found->second->Drop();
  busy_.erase(found);
}

http_pool::connection http_pool::TakeConnection() {
  if (idle_.empty()) {
    return std::make_shared<http_connection>(
        context_, [this](const http_connection& closed) { Forget(closed); });
  }
  connection taken = std::move(idle_.back());
  idle_.pop_back();
  return taken;
}

void http_pool::Forget(const http_connection& closed) {
  std::erase_if(idle_,
                [&](const connection& each) { return each.get() == &closed; });
}

}  // namespace auburnfold
