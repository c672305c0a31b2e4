#include "LibRuntime/Connections/http_listener.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <utility>

namespace auburnfold {

namespace {

constexpr std::chrono::milliseconds kAcceptRetryInterval{100};
// Bounds the time that one turn of the event loop spends on new connections.
constexpr int kMaxAcceptsPerTurn = 64;
// At the limit, the limit divided by this is the number of sessions closed at
// once: finding the idle ones takes time in proportion to all of them.
constexpr std::size_t kExcessDivisor = 32;

log4cplus::Logger Log() {
  return log4cplus::Logger::getInstance(
      LOG4CPLUS_TEXT("auburnfold.connections"));
}

}  // namespace

http_listener::http_listener(asio::io_context& io,
                             session_handlers handlers,
                             node_metrics& metrics,
                             std::size_t memory_bytes)
    : handlers_(std::move(handlers)),
      metrics_(metrics),
      acceptor_(io),
      retry_timer_(io) {
  handlers_.limits = &limits_;
  handlers_.memory = std::make_shared<body_memory>(memory_bytes);
}

error_code http_listener::Listen(const std::string& host, std::uint16_t port) {
  error_code error;
  const asio::ip::address address = asio::ip::make_address(host, error);
  if (error) {
    return error;
  }
  const tcp::endpoint local(address, port);
  acceptor_.open(local.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(local, error);
  }
  if (!error) {
    acceptor_.non_blocking(true, error);
  }
  if (!error) {
    acceptor_.listen(asio::socket_base::max_listen_connections, error);
  }
  if (!error) {
    Accept();
  }
  return error;
}

void http_listener::LimitSessions(std::size_t max_sessions) {
  max_sessions_ = max_sessions;
  apply_limit_at_ = max_sessions;
}

void http_listener::Sweep() {
  const server_session::clock::time_point now = server_session::clock::now();
  for (const std::weak_ptr<server_session>& weak : sessions_) {
    if (const std::shared_ptr<server_session> session = weak.lock()) {
      session->CloseIfStale(now);
    }
  }
  EraseClosedSessions();
}

bool http_listener::IsReceivingFrom(const std::string& peer_host) const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [&peer_host](const std::weak_ptr<server_session>& weak) {
                       const auto session = weak.lock();
                       return session && session->is_receiving() &&
                              session->peer_host() == peer_host;
                     });
}

bool http_listener::IsResponding() const {
  return std::any_of(sessions_.begin(), sessions_.end(),
                     [](const std::weak_ptr<server_session>& weak) {
                       const auto session = weak.lock();
                       return session && session->is_responding();
                     });
}

void http_listener::EndUnread() {
  const server_session::clock::time_point now = server_session::clock::now();
  for (const std::weak_ptr<server_session>& weak : sessions_) {
    if (const std::shared_ptr<server_session> session = weak.lock()) {
      session->EndIfUnread(now);
    }
  }
}

void http_listener::Close() {
  error_code ignored;
  acceptor_.close(ignored);
  retry_timer_.cancel();
  for (const std::weak_ptr<server_session>& weak : sessions_) {
    if (const std::shared_ptr<server_session> session = weak.lock()) {
      session->Close();
    }
  }
  sessions_.clear();
}

std::uint16_t http_listener::port() const {
  error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void http_listener::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      return OnAcceptFailed(error);
    }
    OnAccepted(std::move(socket));
    AcceptWaiting();
  });
}

// A turn of a busy event loop takes milliseconds. If it accepted one connection
// only, the others would wait in the accept queue until their callers leave.
void http_listener::AcceptWaiting() {
  for (int accepted = 1; accepted < kMaxAcceptsPerTurn; ++accepted) {
    tcp::socket socket(acceptor_.get_executor());
    error_code error;
    acceptor_.accept(socket, error);
    if (error == asio::error::would_block) {
      break;
    }
    if (error) {
      return OnAcceptFailed(error);
    }
    OnAccepted(std::move(socket));
  }
  Accept();
}

void http_listener::OnAccepted(tcp::socket socket) {
  metrics_.Count(runtime_counter::kConnectionsAccepted);
  if (is_failing_) {
    is_failing_ = false;
    LOG4CPLUS_INFO(Log(), "accepts connections at port " << port() << " again");
  }
  auto session = std::make_shared<server_session>(std::move(socket), handlers_);
  if (sessions_.size() >= apply_limit_at_) {
    ApplyLimit();
  }
  sessions_.push_back(session);
  session->Start();
}

void http_listener::ApplyLimit() {
  EraseClosedSessions();
  const std::size_t step = max_sessions_ / kExcessDivisor + 1;
  if (sessions_.size() >= max_sessions_) {
    CloseLongestIdle(sessions_.size() - max_sessions_ + step);
  }
  apply_limit_at_ = std::max(max_sessions_, sessions_.size() + step);
}

void http_listener::CloseLongestIdle(std::size_t count) {
  std::vector<std::shared_ptr<server_session>> longest_idle_first;
  for (const std::weak_ptr<server_session>& weak : sessions_) {
    longest_idle_first.push_back(weak.lock());
  }
  std::stable_sort(longest_idle_first.begin(), longest_idle_first.end(),
                   [](const auto& left, const auto& right) {
                     return left->idle_since() < right->idle_since();
                   });
  for (const std::shared_ptr<server_session>& session : longest_idle_first) {
    if (count > 0 && session->CloseIfIdle()) {
      --count;
    }
  }
}

void http_listener::EraseClosedSessions() {
  std::erase_if(sessions_, [](const std::weak_ptr<server_session>& weak) {
    const std::shared_ptr<server_session> session = weak.lock();
    return !session || !session->is_open();
  });
}

// Most likely out of file descriptors, so an immediate retry would fail again.
void http_listener::OnAcceptFailed(error_code error) {
  metrics_.Count(runtime_counter::kAcceptFailures);
  if (!is_failing_) {
    is_failing_ = true;
    LOG4CPLUS_WARN(Log(), "cannot accept connections at port "
                              << port() << ": " << error.message() << ", "
                              << sessions_.size() << " open");
  }
  retry_timer_.expires_after(kAcceptRetryInterval);
  retry_timer_.async_wait([this](error_code wait_error) {
    if (!wait_error) {
      Accept();
    }
  });
}

}  // namespace auburnfold
