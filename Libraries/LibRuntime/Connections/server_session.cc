#include "LibRuntime/Connections/server_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "LibRuntime/Connections/http_responses.h"

namespace auburnfold {

namespace {

constexpr std::chrono::seconds kReadTimeout{10};
constexpr std::chrono::seconds kLingerTimeout{2};
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

server_session::server_session(tcp::socket socket,
                               const session_handlers& handlers)
    : socket_(std::move(socket)),
      handlers_(handlers),
      memory_(handlers.memory) {}

server_session::~server_session() {
  ReleaseBodyMemory();
}

void server_session::Start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  PrepareNext();
  Read();
}

void server_session::SetDisconnectHandler(std::function<void()> on_disconnect) {
  on_disconnect_ = std::move(on_disconnect);
}

void server_session::SendResponse(http_response response) {
  if (!is_open()) {
    return;
  }
  on_disconnect_ = nullptr;
  response_ = std::move(response);
  // The endpoint's HTTP version does not apply to this connection.
  response_.version(kHttp11);
  FinishResponse(response_, method_);
  response_.keep_alive(keeps_alive_);
  Write();
}

void server_session::SendResponseAndClose(http_response response) {
  keeps_alive_ = false;
  SendResponse(std::move(response));
}

// Cancelling the read closes the connection, unless the read has already
// received a request that waits in the event loop to be handled.
bool server_session::CloseIfIdle() {
  const bool has_request = is_busy_ || is_lingering_ || parser_->got_some();
  if (has_request || Peek() != asio::error::would_block) {
    return false;
  }
  error_code ignored;
  socket_.cancel(ignored);
  return true;
}

bool server_session::HasPeerClosed() {
  const error_code error = Peek();
  return error && error != asio::error::would_block;
}

error_code server_session::Peek() {
  char next = 0;
  error_code error;
  socket_.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
  return error;
}

std::string server_session::peer_host() const {
  error_code error;
  const tcp::endpoint peer = socket_.remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

void server_session::Close() {
  error_code ignored;
  socket_.close(ignored);
  on_disconnect_ = nullptr;
  ReleaseBodyMemory();
}

void server_session::CloseIfStale(clock::time_point now) {
  if (!is_busy_ && now >= deadline_) {
    Close();
  }
}

void server_session::Read() {
  is_reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->OnRead(error, size);
      });
}

void server_session::OnRead(error_code error, std::size_t size) {
  is_reading_ = false;
  if (error) {
    return OnDisconnected();
  }
  if (is_lingering_) {
    return Read();
  }
  buffer_.commit(size);
  // A pipelined request stays in the buffer until the current one is answered.
  if (!is_busy_) {
    Parse();
  }
}

void server_session::Parse() {
  error_code error;
  const std::size_t used = parser_->put(buffer_.data(), error);
  buffer_.consume(used);
  if (error && error != http::error::need_more) {
    return RejectMalformed(error);
  }
  if (!ReserveBodyMemory()) {
    return Reject(error_kind::kOverloaded);
  }
  if (parser_->is_done()) {
    return DispatchRequest();
  }
  if (!parser_->got_some()) {
    deadline_ = clock::now() + handlers_.limits->idle_timeout;
  } else {
    deadline_ = clock::now() + kReadTimeout;
  }
  SendContinueIfExpected();
  Read();
}

void server_session::DispatchRequest() {
  is_busy_ = true;
  keeps_alive_ = parser_->keep_alive();
  method_ = parser_->get().method();
  http_request request = parser_->release();
  if (buffer_.size() == 0) {
    Read();
  }
  handlers_.on_request(shared_from_this(), std::move(request));
}

// A body whose size is known is rejected before it is read.
bool server_session::ReserveBodyMemory() {
  if (!parser_->is_header_done()) {
    return true;
  }
  const auto stated = static_cast<std::size_t>(std::min<std::uint64_t>(
      parser_->content_length().value_or(0), handlers_.limits->body_bytes));
  const std::string& body = parser_->get().body();
  const std::size_t needed =
      std::max(stated, body.empty() ? 0 : body.capacity());
  if (needed <= reserved_bytes_) {
    return true;
  }
  if (!memory_->TryReserve(needed - reserved_bytes_)) {
    return false;
  }
  reserved_bytes_ = needed;
  return true;
}

void server_session::ReleaseBodyMemory() {
  memory_->Release(std::exchange(reserved_bytes_, 0));
}

void server_session::RejectMalformed(error_code error) {
  const bool is_too_large = error == http::error::body_limit ||
                            error == http::error::header_limit ||
                            error == http::error::buffer_overflow;
  Reject(is_too_large ? error_kind::kRequestTooLarge
                      : error_kind::kMalformedRequest);
}

// What was read of the body is dropped, and what follows is discarded.
void server_session::Reject(error_kind kind) {
  is_busy_ = true;
  parser_.emplace();
  ReleaseBodyMemory();
  handlers_.on_rejected(shared_from_this(), kind);
}

void server_session::SendContinueIfExpected() {
  if (is_continue_sent_ || !parser_->is_header_done()) {
    return;
  }
  if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    return;
  }
  is_continue_sent_ = true;
  asio::async_write(socket_, asio::buffer(kContinueResponse),
                    [self = shared_from_this()](error_code, std::size_t) {});
}

void server_session::Write() {
  serializer_.emplace(response_);
  http::async_write(socket_, *serializer_,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
}

void server_session::OnWritten(error_code error) {
  if (error) {
    return Close();
  }
  is_busy_ = false;
  if (!keeps_alive_) {
    socket_.shutdown(tcp::socket::shutdown_send, error);
    is_lingering_ = true;
    deadline_ = clock::now() + kLingerTimeout;
    if (!is_reading_) {
      buffer_.clear();
      Read();
    }
    return;
  }
  PrepareNext();
  if (!is_reading_) {
    Parse();
  }
}

void server_session::PrepareNext() {
  ReleaseBodyMemory();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(
      static_cast<std::uint32_t>(handlers_.limits->header_bytes));
  parser_->body_limit(handlers_.limits->body_bytes);
  is_continue_sent_ = false;
  idle_since_ = clock::now();
  deadline_ = idle_since_ + handlers_.limits->idle_timeout;
}

void server_session::OnDisconnected() {
  const std::function<void()> on_disconnect = std::move(on_disconnect_);
  Close();
  if (on_disconnect) {
    on_disconnect();
  }
}

}  // namespace auburnfold
