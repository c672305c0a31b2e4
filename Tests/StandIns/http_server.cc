#include "StandIns/http_server.h"

#include <boost/asio/ip/address.hpp>
#include <utility>
#include <vector>

namespace auburnfold {

namespace asio = boost::asio;

http_server::http_server(asio::io_context& context,
                         const http_address& address,
                         std::size_t connection_limit,
                         http_session::handlers handled)
    : connection_limit_(connection_limit),
      acceptor_(context, {asio::ip::make_address(address.host), address.port}) {
  handled_.on_request = std::move(handled.on_request);
  handled_.on_closed =
      [this, closed = std::move(handled.on_closed)](http_session& session) {
        sessions_.erase(&session);
        closed(session);
      };
  Accept();
}

void http_server::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          const bool is_over_limit = sessions_.size() >= connection_limit_;
          const auto session = std::make_shared<http_session>(
              std::move(socket), handled_, is_over_limit);
          sessions_.emplace(session.get(), session);
          session->Start();
        }
        Accept();
      });
}

template <class action>
void http_server::ForEach(const action& act) {
  std::vector<http_session::pointer> present;
  for (const auto& [key, weak] : sessions_) {
    if (auto session = weak.lock()) {
      present.push_back(std::move(session));
    }
  }
  for (const http_session::pointer& session : present) {
    act(*session);
  }
}

void http_server::SilenceShare(double share, const http_session& asking) {
  double due = 0.0;
  ForEach([&](http_session& session) {
    if (&session == &asking) {
      return;
    }
    due += share;
    if (due >= 1.0) {
      due -= 1.0;
      session.Silence();
    }
  });
}

void http_server::Stop() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  ForEach([](http_session& session) { session.CloseWhenIdle(); });
}

void http_server::CutAll() {
  ForEach([](http_session& session) { session.Drop(); });
}

}  // namespace auburnfold
