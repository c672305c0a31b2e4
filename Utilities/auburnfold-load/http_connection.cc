#include "auburnfold-load/http_connection.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace auburnfold {

namespace http = boost::beast::http;

void http_connection::Exchange(const endpoint& peer,
                               http_request request,
                               std::chrono::nanoseconds timeout,
                               on_end done) {
  request_ = std::move(request);
  done_ = std::move(done);
  stream_.expires_after(timeout);
  if (is_open_) {
    return Write();
  }
  stream_.async_connect(peer, [self = shared_from_this()](error_code error) {
    self->OnConnected(error);
  });
}

void http_connection::Drop() {
  done_ = nullptr;
  is_open_ = false;
  error_code ignored;
  stream_.socket().close(ignored);
}

void http_connection::OnConnected(error_code error) {
  if (error) {
    return End(exchange_end::kNotConnected);
  }
  is_open_ = true;
  error_code ignored;
  stream_.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  stream_.socket().non_blocking(true, ignored);
  Write();
}

void http_connection::Write() {
  http::async_write(stream_, request_,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (error == boost::beast::error::timeout) {
                        return self->End(exchange_end::kTimedOut);
                      }
                      // A server may answer and close before it has read the
                      // whole request, so a failed write still looks for an
                      // answer.
                      self->Read();
                    });
}

void http_connection::Read() {
  parser_.emplace();
  parser_->body_limit(kBodyLimitBytes);
  http::async_read(stream_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     self->OnRead(error);
                   });
}

void http_connection::OnRead(error_code error) {
  if (!error) {
    return End(exchange_end::kAnswered);
  }
  if (error == boost::beast::error::timeout) {
    return End(exchange_end::kTimedOut);
  }
  End(parser_->got_some() ? exchange_end::kTruncated : exchange_end::kLost);
}

void http_connection::End(exchange_end how) {
  if (!done_) {
    return;
  }
  exchange_result result;
  result.end = how;
  bool keep = false;
  if (how == exchange_end::kAnswered) {
    keep = parser_->keep_alive();
    result.response = parser_->release();
  }
  const on_end done = std::exchange(done_, nullptr);
  if (keep) {
    stream_.expires_never();
    WatchForClose();
  } else {
    Drop();
  }
  done(std::move(result));
}

// An idle connection becomes readable only when the peer closes it.
void http_connection::WatchForClose() {
  if (is_watched_) {
    return;
  }
  is_watched_ = true;
  stream_.socket().async_wait(boost::asio::ip::tcp::socket::wait_read,
                              [weak = weak_from_this()](error_code error) {
                                const auto self = weak.lock();
                                if (self && !error) {
                                  self->OnReadable();
                                }
                              });
}

void http_connection::OnReadable() {
  is_watched_ = false;
  if (done_ || !is_open_) {
    return;
  }
  char byte = 0;
  error_code error;
  stream_.socket().receive(boost::asio::buffer(&byte, 1),
                           boost::asio::socket_base::message_peek, error);
  if (error == boost::asio::error::would_block) {
    return WatchForClose();
  }
  Drop();
  closed_(*this);
}

}  // namespace auburnfold
