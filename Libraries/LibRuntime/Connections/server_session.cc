#include "LibRuntime/Connections/server_session.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>
#include <vector>

#include "LibRuntime/Connections/connection_failure.h"
#include "LibRuntime/Connections/http_responses.h"

namespace auburnfold {

namespace {

constexpr std::chrono::seconds kReadTimeout{10};
/// From the last sign that the peer receives the responses.
constexpr std::chrono::seconds kLingerTimeout{2};
/// A peer that takes nothing of a response for this time has left, or holds
/// memory that others need.
constexpr std::chrono::seconds kWriteTimeout{30};
/// What is read beyond the requests that are taken. The peer's close is noticed
/// at once behind as many bytes.
constexpr std::size_t kReadAheadBytes = std::size_t{16} * 1024;
/// From this size of the requests and responses of one connection on, no
/// further request is taken.
constexpr std::size_t kMaxHeldBytes = kMaxBodyBytes;
/// Smaller responses are sent even if memory is used up, as requests without a
/// body are read.
constexpr std::size_t kMaxUncountedBytes = kMaxHeaderBytes;
// A buffer that has grown for a long header is given back.
constexpr std::size_t kMaxKeptBufferBytes = 4 * kReadChunkBytes;
// Bounds the reads before a close.
constexpr int kMaxDiscardingReads = 64;
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

server_session::server_session(tcp::socket socket,
                               const session_handlers& handlers)
    : socket_(std::move(socket)),
      handlers_(handlers),
      memory_(handlers.memory) {}

// The owner of the handlers may be gone.
server_session::~server_session() {
  CloseSocket();
}

void server_session::Start() {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  idle_since_ = clock::now();
  PrepareNext();
  Read();
}

// Cancelling the read closes the connection, unless the read has already
// received a request that waits in the event loop to be handled.
bool server_session::CloseIfIdle() {
  const clock::time_point now = clock::now();
  delivery_.Update(socket_, now);
  if (is_lingering_ && delivery_.is_complete() &&
      now >= delivery_.progress_at() + kLingerTimeout) {
    Close();
    return true;
  }
  const bool is_used = !exchanges_.empty() || is_lingering_ ||
                       !delivery_.is_complete() || parser_->got_some() ||
                       buffer_.size() > 0;
  if (is_used || Peek() != asio::error::would_block) {
    return false;
  }
  if (MayLoseUnread(now)) {
    End();
    return true;
  }
  error_code ignored;
  socket_.cancel(ignored);
  return true;
}

error_code server_session::Peek() {
  char next = 0;
  error_code error;
  socket_.receive(asio::buffer(&next, 1), tcp::socket::message_peek, error);
  return error;
}

// Also tells of a close behind bytes that were not read.
bool server_session::HasPeerClosed() {
  pollfd state{socket_.native_handle(), POLLRDHUP, 0};
  return !is_open() || poll(&state, 1, 0) > 0;
}

std::string server_session::peer_host() const {
  error_code error;
  const tcp::endpoint peer = socket_.remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

void server_session::EndIfUnread(clock::time_point now) {
  delivery_.Update(socket_, now);
  if (is_open() && exchanges_.empty() && !is_lingering_ && MayLoseUnread(now)) {
    End();
  }
}

void server_session::Close() {
  ReportUndelivered();
  DiscardReceived();
  CloseSocket();
}

void server_session::CloseSocket() {
  error_code ignored;
  socket_.close(ignored);
  for (const exchange_ptr& exchange : exchanges_) {
    Release(*exchange);
  }
  exchanges_.clear();
  ReleaseMemory();
}

void server_session::CloseIfStale(clock::time_point now) {
  delivery_.Update(socket_, now);
  if (!exchanges_.empty()) {
    return CloseIfPeerIsGone(now);
  }
  ExtendDeadline();
  if (now < deadline_) {
    return;
  }
  if (is_lingering_ || !MayLoseUnread(now)) {
    return Close();
  }
  End();
}

// A peer that is still receiving a response is not idle.
void server_session::ExtendDeadline() {
  if (is_lingering_) {
    deadline_ = LingerDeadline();
    return;
  }
  if (delivery_.is_complete() || parser_->got_some()) {
    return;
  }
  idle_since_ = delivery_.progress_at();
  deadline_ = std::max({deadline_, LingerDeadline(),
                        idle_since_ + handlers_.limits->idle_timeout});
}

void server_session::CloseIfPeerIsGone(clock::time_point now) {
  const bool is_stuck = is_writing_ && !delivery_.is_complete() &&
                        now >= delivery_.progress_at() + kWriteTimeout;
  if (is_stuck) {
    ReportUndelivered();
  }
  if (is_stuck || (is_watching_ && !is_reading_ && HasPeerClosed())) {
    OnDisconnected();
  }
}

void server_session::Read() {
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(received_),
      [self = shared_from_this()](error_code error, std::size_t size) {
        RunForConnection([&] { self->OnRead(error, size); },
                         [&] { self->OnDisconnected(); });
      });
}

void server_session::OnRead(error_code error, std::size_t size) {
  is_reading_ = false;
  if (error) {
    return OnDisconnected();
  }
  if (is_lingering_) {
    is_pipelining_ = true;
    return Read();
  }
  buffer_.commit(
      asio::buffer_copy(buffer_.prepare(size), asio::buffer(received_, size)));
  Advance();
}

void server_session::Advance() {
  while (is_open() && !IsPaused() && Parse()) {
  }
  const bool has_more = parser_->got_some() || buffer_.size() > 0;
  is_pipelining_ |= exchanges_.size() > 1 || (!exchanges_.empty() && has_more);
  ReadOn();
}

// While the last response is written, what arrives is left to `Linger`, so that
// a close by the peer does not cut the response.
void server_session::ReadOn() {
  const bool is_last = is_lingering_ || is_writing_last_;
  if (!is_open() || is_reading_ || is_last) {
    return;
  }
  if (!IsPaused() || buffer_.size() < kReadAheadBytes) {
    return Read();
  }
  WatchForClose();
}

// Reports a reset at once. `CloseIfStale` looks for an orderly close behind
// bytes that are not read. Anything else is urgent data, which HTTP does not
// have.
void server_session::WatchForClose() {
  if (is_watching_) {
    return;
  }
  is_watching_ = true;
  socket_.async_wait(tcp::socket::wait_error,
                     [self = shared_from_this()](error_code) {
                       self->is_watching_ = false;
                       self->OnDisconnected();
                     });
}

bool server_session::IsPaused() const {
  return is_ending_ || is_short_of_memory_ ||
         exchanges_.size() >= handlers_.limits->max_pipelined ||
         (!exchanges_.empty() && HeldBytes() >= kMaxHeldBytes);
}

bool server_session::Parse() {
  if (!parser_->is_done()) {
    if (buffer_.size() == 0) {
      return false;
    }
    error_code error;
    const std::size_t used = parser_->Parse(buffer_.data(), error);
    buffer_.consume(used);
    parsed_bytes_ += used;
    if (error && error != http::error::need_more) {
      RejectMalformed(error);
      return false;
    }
    // The parser does not limit trailers and chunk extensions.
    if (!parser_->is_done() &&
        buffer_.size() > handlers_.limits->header_bytes) {
      Reject(error_kind::kHeaderTooLarge);
      return false;
    }
  }
  // Its content has no meaning, and no next hop would be sent it.
  if (parser_->is_done() && parser_->get().method() == http::verb::trace &&
      !parser_->get().body().empty()) {
    Reject(error_kind::kMalformedRequest);
    return false;
  }
  if (!ReserveMemory()) {
    if (exchanges_.empty()) {
      Reject(error_kind::kOverloaded);
    } else {
      is_short_of_memory_ = true;
    }
    return false;
  }
  if (parser_->is_done()) {
    TakeRequest();
    return buffer_.size() > 0;
  }
  deadline_ =
      clock::now() + (parser_->got_some() ? clock::duration(kReadTimeout)
                                          : handlers_.limits->idle_timeout);
  SendContinueIfExpected();
  return false;
}

void server_session::TakeRequest() {
  auto exchange = std::make_shared<server_exchange>(weak_from_this());
  exchange->method_ = parser_->get().method();
  exchange->reserved_bytes_ = std::exchange(reserved_bytes_, 0);
  is_ending_ = !parser_->keep_alive();
  exchange->request_ = parser_->release();
  exchanges_.push_back(std::move(exchange));
  PrepareNext();
  HandOver();
}

void server_session::HandOver() {
  for (std::size_t i = 0; i < exchanges_.size(); ++i) {
    const exchange_ptr exchange = exchanges_[i];
    if (i == 0 && exchange->on_turn_) {
      std::exchange(exchange->on_turn_, nullptr)();
    } else if (exchange->request_) {
      http_request request = *std::move(exchange->request_);
      exchange->request_.reset();
      handlers_.on_request(exchange, std::move(request));
    }
    if (exchange->on_turn_) {
      return;
    }
  }
}

// A body whose size is known is rejected before it is read.
bool server_session::ReserveMemory() {
  std::size_t needed = 0;
  if (parser_->is_header_done()) {
    const auto stated = static_cast<std::size_t>(std::min<std::uint64_t>(
        parser_->content_length().value_or(0), handlers_.limits->body_bytes));
    const std::string& body = parser_->get().body();
    needed = std::max(stated, body.empty() ? 0 : body.capacity());
  }
  needed += CountedHeaderBytes();
  if (needed <= reserved_bytes_) {
    return true;
  }
  if (!memory_->TryReserve(needed - reserved_bytes_)) {
    return false;
  }
  reserved_bytes_ = needed;
  return true;
}

// The header of one request at a time is not counted up to its usual size, so
// that the request is served even if memory is used up.
std::size_t server_session::CountedHeaderBytes() const {
  if (!exchanges_.empty()) {
    return std::min(parsed_bytes_, handlers_.limits->header_bytes);
  }
  std::size_t bytes = parsed_bytes_ + buffer_.size();
  if (bytes <= kMaxUncountedBytes) {
    return 0;
  }
  if (parser_->is_header_done()) {
    bytes = parser_->get().target().size();
    for (const auto& field : parser_->get()) {
      bytes += field.name_string().size() + field.value().size();
    }
  }
  return bytes - std::min(bytes, kMaxUncountedBytes);
}

void server_session::ReleaseMemory() {
  memory_->Release(std::exchange(reserved_bytes_, 0));
}

void server_session::RejectMalformed(error_code error) {
  if (error == http::error::header_limit) {
    return Reject(error_kind::kHeaderTooLarge);
  }
  Reject(error == http::error::body_limit ? error_kind::kRequestTooLarge
                                          : error_kind::kMalformedRequest);
}

// What was read of the body is dropped, and what follows is discarded.
void server_session::Reject(error_kind kind) {
  is_ending_ = true;
  parser_.emplace();
  ReleaseMemory();
  const auto exchange = std::make_shared<server_exchange>(weak_from_this());
  exchanges_.push_back(exchange);
  handlers_.on_rejected(exchange, kind);
}

// Between the responses to earlier requests it would be taken for one of them.
void server_session::SendContinueIfExpected() {
  if (is_continue_sent_ || !parser_->is_header_done() || !exchanges_.empty()) {
    return;
  }
  if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    return;
  }
  is_continue_sent_ = true;
  asio::async_write(socket_, asio::buffer(kContinueResponse),
                    [self = shared_from_this()](error_code, std::size_t) {});
}

void server_session::PrepareNext() {
  ReleaseMemory();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(
      static_cast<std::uint32_t>(handlers_.limits->header_bytes));
  parser_->body_limit(handlers_.limits->body_bytes);
  parsed_bytes_ = 0;
  if (buffer_.size() == 0 && buffer_.capacity() > kMaxKeptBufferBytes) {
    buffer_.shrink_to_fit();
  }
  is_continue_sent_ = false;
  deadline_ = clock::now() + handlers_.limits->idle_timeout;
}

bool server_session::ReserveResponse(server_exchange& exchange,
                                     std::size_t body_bytes) {
  const std::size_t expected = exchange.expected_bytes_;
  if (body_bytes <= expected) {
    memory_->ReleaseExpected(expected - body_bytes);
    exchange.expected_bytes_ = body_bytes;
    return true;
  }
  if (body_bytes <= kMaxUncountedBytes) {
    return true;
  }
  if (!memory_->TryReserve(body_bytes - expected)) {
    return false;
  }
  exchange.reserved_bytes_ += body_bytes - expected;
  return true;
}

void server_session::Respond(server_exchange& exchange,
                             http_response response) {
  exchange.on_disconnect_ = nullptr;
  // The endpoint's HTTP version does not apply to this connection.
  response.version(kHttp11);
  exchange.response_ = std::move(response);
  WriteNext();
}

void server_session::WriteNext() {
  if (is_writing_ || exchanges_.empty() || !exchanges_.front()->response_) {
    return;
  }
  is_writing_ = true;
  is_writing_last_ = is_ending_ && exchanges_.size() == 1;
  server_exchange& front = *exchanges_.front();
  FinishResponse(*front.response_, front.method_);
  front.response_->keep_alive(!is_writing_last_);
  serializer_.emplace(*front.response_);
  WriteSome();
}

void server_session::WriteSome() {
  http::async_write_some(
      socket_, *serializer_,
      // The response lives as long as it is written, also if the session drops
      // it.
      [self = shared_from_this(), exchange = exchanges_.front()](
          error_code error, std::size_t size) {
        RunForConnection([&] { self->OnWritten(error, size); },
                         [&] { self->OnDisconnected(); });
      });
}

void server_session::OnWritten(error_code error, std::size_t size) {
  delivery_.OnWritten(size, clock::now());
  if (error || exchanges_.empty()) {
    is_writing_ = false;
    return OnDisconnected();
  }
  if (!serializer_->is_done()) {
    return WriteSome();
  }
  is_writing_ = false;
  server_exchange& written = *exchanges_.front();
  delivery_.OnResponseWritten(std::move(written.request_id_),
                              written.deadline_);
  Release(written);
  exchanges_.pop_front();
  OnAnswered();
}

void server_session::OnAnswered() {
  is_short_of_memory_ = false;
  if (exchanges_.empty()) {
    idle_since_ = clock::now();
    if (is_ending_) {
      return Linger();
    }
    // Limits may have changed meanwhile.
    if (!parser_->got_some()) {
      PrepareNext();
    }
    deadline_ =
        idle_since_ + (parser_->got_some() ? clock::duration(kReadTimeout)
                                           : handlers_.limits->idle_timeout);
    SendContinueIfExpected();
  }
  WriteNext();
  HandOver();
  Advance();
}

void server_session::End() {
  is_ending_ = true;
  parser_.emplace();
  Linger();
}

void server_session::Linger() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  is_lingering_ = true;
  ReleaseMemory();
  if (!is_reading_) {
    buffer_.clear();
    Read();
  }
}

// What the peer's system has acknowledged may be unread, and is lost if the
// peer sends to a closed connection. Only a peer that pipelines does so before
// it has read the answer. It tells by its own close that it has; after the
// deadlines of its requests nobody reads them.
bool server_session::MayLoseUnread(clock::time_point now) const {
  return !delivery_.is_complete() ||
         (is_pipelining_ && now < delivery_.deadline());
}

server_session::clock::time_point server_session::LingerDeadline() const {
  const clock::time_point progress_at = delivery_.progress_at();
  const clock::time_point earliest = progress_at + kLingerTimeout;
  if (delivery_.is_complete() && !is_pipelining_) {
    return earliest;
  }
  return std::clamp(delivery_.deadline(), earliest,
                    progress_at + kWriteTimeout);
}

// The operating system resets a connection that is closed with unread bytes,
// and drops what the peer has not received.
void server_session::DiscardReceived() {
  error_code error;
  for (int i = 0; i < kMaxDiscardingReads && is_open() && !error; ++i) {
    socket_.receive(asio::buffer(received_), 0, error);
  }
}

void server_session::ReportUndelivered() {
  delivery_.Update(socket_, clock::now());
  if (!is_open() || !handlers_.on_undelivered) {
    return;
  }
  for (const request_id& request : delivery_.UndeliveredRequests()) {
    handlers_.on_undelivered(request);
  }
  for (const exchange_ptr& exchange : exchanges_) {
    if (exchange->response_ && !exchange->request_id_.value().empty()) {
      handlers_.on_undelivered(exchange->request_id_);
    }
  }
}

std::size_t server_session::CountBefore(const server_exchange& exchange) const {
  const auto found = std::find_if(
      exchanges_.begin(), exchanges_.end(),
      [&](const exchange_ptr& other) { return other.get() == &exchange; });
  return found == exchanges_.end()
             ? 0
             : static_cast<std::size_t>(found - exchanges_.begin());
}

std::optional<call_id> server_session::CallBefore(
    const server_exchange& exchange) const {
  for (std::size_t i = CountBefore(exchange); i > 0; --i) {
    if (exchanges_[i - 1]->call_) {
      return exchanges_[i - 1]->call_;
    }
  }
  return std::nullopt;
}

std::size_t server_session::HeldBytes() const {
  std::size_t sum = 0;
  for (const exchange_ptr& exchange : exchanges_) {
    sum += exchange->reserved_bytes_;
  }
  return sum;
}

void server_session::DropFrom(std::size_t first) {
  is_ending_ = true;
  std::vector<exchange_ptr> dropped;
  while (exchanges_.size() > first) {
    Release(*exchanges_.back());
    dropped.push_back(std::move(exchanges_.back()));
    exchanges_.pop_back();
  }
  for (const exchange_ptr& exchange : dropped) {
    if (exchange->on_disconnect_) {
      std::exchange(exchange->on_disconnect_, nullptr)();
    }
  }
}

void server_session::DropBehind(const server_exchange& exchange) {
  DropFrom(CountBefore(exchange) + 1);
}

// A response that is partly written cannot be dropped.
void server_session::EndBefore(const server_exchange& exchange) {
  const std::size_t first = CountBefore(exchange);
  if (first == 0 && is_writing_) {
    return OnDisconnected();
  }
  DropFrom(first);
  if (first == 0) {
    End();
  }
}

void server_session::DropWaiting() {
  const auto waiting = std::find_if(
      exchanges_.begin(), exchanges_.end(), [](const exchange_ptr& exchange) {
        return exchange->request_ || exchange->on_turn_;
      });
  DropFrom(static_cast<std::size_t>(waiting - exchanges_.begin()));
}

// Nothing that the exchange does has an effect on the connection any more.
void server_session::Release(server_exchange& exchange) {
  memory_->Release(std::exchange(exchange.reserved_bytes_, 0));
  memory_->ReleaseExpected(std::exchange(exchange.expected_bytes_, 0));
  exchange.session_.reset();
  exchange.request_.reset();
  exchange.on_turn_ = nullptr;
}

void server_session::OnDisconnected() {
  DiscardReceived();
  error_code ignored;
  socket_.close(ignored);
  DropFrom(0);
  CloseSocket();
}

}  // namespace auburnfold
