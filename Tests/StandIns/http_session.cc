#include "StandIns/http_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

namespace auburnfold {

namespace asio = boost::asio;
namespace http = boost::beast::http;

http_session::http_session(asio::ip::tcp::socket socket,
                           const handlers& handled,
                           bool is_over_limit)
    : socket_(std::move(socket)),
      handled_(handled),
      is_over_limit_(is_over_limit) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void http_session::Read() {
  parser_.emplace();
  parser_->body_limit(kBodyLimitBytes);
  http::async_read(socket_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     self->OnRead(error);
                   });
}

void http_session::OnRead(error_code error) {
  if (is_silent_) {
    // What arrives is swallowed: the other end must find out by itself.
    return error ? Drop() : Read();
  }
  if (error) {
    return Drop();
  }
  is_busy_ = true;
  keep_alive_ = parser_->keep_alive();
  handled_.on_request(shared_from_this(), parser_->release());
  WatchForClose();
}

void http_session::Answer(http_response response) {
  if (is_closed_ || is_silent_) {
    return;
  }
  response_ = std::move(response);
  Write();
}

void http_session::Write() {
  keep_alive_ = keep_alive_ && !is_closing_;
  response_.keep_alive(keep_alive_);
  response_.prepare_payload();
  http::async_write(socket_, response_,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->is_busy_ = false;
                      if (error || !self->keep_alive_ || self->is_closing_) {
                        return self->Drop();
                      }
                      self->Read();
                    });
}

void http_session::AnswerTruncated(http_response response) {
  if (is_closed_ || is_silent_) {
    return;
  }
  response.prepare_payload();
  std::ostringstream whole;
  whole << response;
  cut_answer_ = whole.str();
  cut_answer_.resize(cut_answer_.size() - response.body().size() / 2 - 1);
  asio::async_write(
      socket_, asio::buffer(cut_answer_),
      [self = shared_from_this()](error_code, std::size_t) { self->Drop(); });
}

void http_session::Drop() {
  if (std::exchange(is_closed_, true)) {
    return;
  }
  error_code ignored;
  socket_.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  handled_.on_closed(*this);
}

void http_session::CloseWhenIdle() {
  is_closing_ = true;
  if (!is_busy_) {
    Drop();
  }
}

// While a request is being worked on, the connection becomes readable when
// the caller gives it up, or when it sends the next request early.
void http_session::WatchForClose() {
  if (is_watched_ || is_closed_) {
    return;
  }
  is_watched_ = true;
  socket_.async_wait(asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](error_code error) {
                       self->is_watched_ = false;
                       if (!error) {
                         self->OnReadable();
                       }
                     });
}

void http_session::OnReadable() {
  if (!is_busy_ || is_closed_ || is_silent_) {
    return;
  }
  char byte = 0;
  error_code error;
  socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                  error);
  if (error == asio::error::would_block) {
    return WatchForClose();
  }
  if (error) {
    Drop();
  }
}

}  // namespace auburnfold
