#include "LibRuntime/Connections/client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "LibRuntime/Connections/connection_failure.h"
#include "LibRuntime/Connections/long_fields.h"
#include "LibRuntime/Connections/response_status.h"
#include "LibRuntime/Connections/tcp_timeouts.h"

namespace auburnfold {

namespace {

// Shorter than the idle timeout of server_session; see there.
constexpr std::chrono::seconds kIdleTimeout{45};
// An endpoint may close an idle connection before the timeout that it
// announces in `Keep-Alive`, so only this part of the timeout is used.
constexpr int kPeerTimeoutDivisor = 2;
// Within a region a connection takes a few milliseconds to establish. A lost
// first packet is retransmitted only after a second.
constexpr std::chrono::milliseconds kConnectTimeout{300};
// Enough for the largest body in the smallest chunks. Late responses, and chunk
// extensions together, have no other limit.
constexpr std::size_t kMaxReadBytes = 8 * kMaxBodyBytes;
// Each is short, so that many of them cost time rather than memory.
constexpr std::size_t kMaxInterimResponses = 1000;
constexpr std::size_t kMaxFailedIds = 64;

// Ids may be as long as a header. Two with the same hash only keep a request
// from this connection.
std::size_t HashOf(std::string_view id) {
  return std::hash<std::string_view>()(id);
}

}  // namespace

client_connection::client_connection(asio::io_context& io,
                                     connection_id id,
                                     const connection_handlers& handlers)
    : socket_(io), connect_timer_(io), id_(id), handlers_(handlers) {}

void client_connection::Connect(const tcp::endpoint& to,
                                client_request request) {
  request_ = std::move(request);
  StartConnectTimer();
  socket_.async_connect(to, [self = shared_from_this()](error_code error) {
    RunForConnection([&] { self->OnConnected(error); },
                     [&] { self->FailInternally(); });
  });
}

void client_connection::Send(client_request request) {
  request_ = std::move(request);
  Write();
}

void client_connection::TimeOut() {
  if (state_ == state::kConnecting) {
    return Fail(error_kind::kEndpointUnreachable, execution_state::kNotExecuted,
                false);
  }
  if (state_ == state::kBusy) {
    Fail(error_kind::kAnswerTimeout, execution_state::kUnknown, false);
  }
}

void client_connection::StopConnecting() {
  if (state_ == state::kConnecting) {
    Close();
  }
}

void client_connection::Cancel() {
  request_.on_finished = nullptr;
  if (state_ == state::kConnecting) {
    is_cancelled_ = true;
    return;
  }
  if (state_ == state::kBusy) {
    CloseSocket(false);
  }
}

void client_connection::Close() {
  switch (state_) {
    case state::kConnecting:
      return Fail(error_kind::kEndpointUnreachable,
                  execution_state::kNotExecuted, false);
    case state::kBusy:
      return Fail(error_kind::kAnswerLost, execution_state::kUnknown, false);
    case state::kIdle:
      return CloseSocket(false);
    case state::kClosed:
      return;
  }
}

void client_connection::CloseIfStale(clock::time_point now) {
  if (state_ == state::kIdle && now >= idle_deadline_) {
    Close();
  }
}

// What came before a request was sent is no answer to it, even if the event
// loop has not got to reading it.
bool client_connection::CloseIfReadable() {
  char byte = 0;
  error_code error;
  socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  if (error == asio::error::would_block) {
    return false;
  }
  CloseSocket(true);
  return true;
}

void client_connection::StartConnectTimer() {
  connect_timer_.expires_after(kConnectTimeout);
  connect_timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error && self->state_ == state::kConnecting) {
      self->Close();
    }
  });
}

void client_connection::OnConnected(error_code error) {
  if (state_ != state::kConnecting) {
    return;
  }
  connect_timer_.cancel();
  if (error) {
    return Fail(error_kind::kEndpointUnreachable, execution_state::kNotExecuted,
                true);
  }
  socket_.set_option(tcp::no_delay(true), error);
  SetTcpTimeouts(socket_);
  socket_.non_blocking(true, error);
  if (is_cancelled_ || request_.is_connect_only) {
    const auto on_finished = std::move(request_.on_finished);
    request_ = {};
    state_ = state::kIdle;
    idle_deadline_ = clock::now() + kIdleTimeout;
    Read();
    handlers_.on_idle(shared_from_this());
    if (on_finished) {
      on_finished({});
    }
    return;
  }
  Write();
}

void client_connection::Write() {
  state_ = state::kBusy;
  read_bytes_ = 0;
  interim_responses_ = 0;
  PrepareParser();
  if (request_.on_sending) {
    request_.on_sending(id_);
  }
  header_ = FormatHeader(request_.message);
  const auto& body = request_.message.body();
  const std::array<asio::const_buffer, 2> buffers{
      asio::buffer(header_), asio::buffer(body.data(), body.size())};
  is_write_done_ = false;
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      RunForConnection([&] { self->OnWritten(error); },
                                       [&] { self->FailInternally(); });
                    });
  if (!is_reading_) {
    Read();
  }
}

// The failed write takes the error of the connection, so that the reads after
// it see an end, as after an orderly close. Only a peer that has closed its
// side in order before leaves a broken pipe.
void client_connection::OnWritten(error_code error) {
  is_write_done_ = !error;
  is_broken_ = error && error != asio::error::broken_pipe;
  // A pending read reports the error, after any response that the peer sent
  // before it closed.
  if (error && state_ == state::kBusy && !is_reading_) {
    OnDisconnected(error);
  }
}

void client_connection::Read() {
  is_reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](error_code error, std::size_t size) {
        RunForConnection([&] { self->OnRead(error, size); },
                         [&] { self->FailInternally(); });
      });
}

void client_connection::OnRead(error_code error, std::size_t size) {
  is_reading_ = false;
  if (state_ == state::kClosed) {
    return;
  }
  if (error) {
    return OnDisconnected(error);
  }
  buffer_.commit(size);
  if (state_ == state::kIdle) {
    // Bytes on an idle connection belong to no request.
    return CloseSocket(true);
  }
  read_bytes_ += size;
  Parse();
}

void client_connection::Parse() {
  error_code error;
  buffer_.consume(parser_->Parse(buffer_.data(), error));
  if (error == http::error::body_limit) {
    return Fail(error_kind::kAnswerTooLarge, execution_state::kExecuted, false);
  }
  // The parser does not limit trailers and chunk extensions.
  const bool is_line_too_long =
      !parser_->is_done() && buffer_.size() > handlers_.max_header_bytes;
  const bool is_too_large = error == http::error::header_limit ||
                            is_line_too_long || read_bytes_ > kMaxReadBytes ||
                            !ReserveBodyMemory();
  if (is_too_large) {
    return Fail(error_kind::kAnswerTooLarge, execution_state::kUnknown, false);
  }
  if (error && error != http::error::need_more) {
    return Fail(error_kind::kAnswerTruncated, execution_state::kUnknown, false);
  }
  if (!parser_->is_done()) {
    return Read();
  }
  if (IsInterimStatus(parser_->get().result_int())) {
    if (++interim_responses_ > kMaxInterimResponses) {
      return Fail(error_kind::kAnswerTooLarge, execution_state::kUnknown,
                  false);
    }
    PrepareParser();
    return buffer_.size() > 0 ? Parse() : Read();
  }
  if (!MatchesRequest()) {
    // A late response to an earlier request; the expected one may follow.
    must_not_reuse_ = true;
    PrepareParser();
    return buffer_.size() > 0 ? Parse() : Read();
  }
  Complete();
}

bool client_connection::MatchesRequest() const {
  if (request_.echoed_header.empty()) {
    return true;
  }
  const std::string_view echoed = parser_->get()[request_.echoed_header];
  return echoed.empty() || echoed == request_.echoed_value;
}

bool client_connection::MayCarry(const client_request& request) const {
  return std::find(failed_ids_.begin(), failed_ids_.end(),
                   HashOf(request.echoed_value)) == failed_ids_.end();
}

// A faulty peer may write a response once more where a later one is expected.
// That goes unnoticed if it names no request, or if a request that failed comes
// back under the same id.
bool client_connection::CanTellRepetitions() {
  if (request_.echoed_header.empty()) {
    return true;
  }
  if (parser_->get()[request_.echoed_header].empty()) {
    return false;
  }
  if (http::to_status_class(parser_->get().result()) ==
      http::status_class::successful) {
    return true;
  }
  failed_ids_.push_back(HashOf(request_.echoed_value));
  return failed_ids_.size() < kMaxFailedIds;
}

client_connection::clock::time_point client_connection::IdleDeadline() const {
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::string_view stated = parser_->get()[http::field::keep_alive];
  const std::size_t at = stated.find(kTimeoutParameter);
  int seconds = 0;
  if (at != std::string_view::npos) {
    const char* first = stated.data() + at + kTimeoutParameter.size();
    std::from_chars(first, stated.data() + stated.size(), seconds);
  }
  const auto timeout = seconds > 0
                           ? std::min<std::chrono::milliseconds>(
                                 kIdleTimeout, std::chrono::seconds(seconds)) /
                                 kPeerTimeoutDivisor
                           : std::chrono::milliseconds(kIdleTimeout);
  return clock::now() + timeout;
}

bool client_connection::ReserveBodyMemory() {
  const std::size_t needed = parser_->get().body().capacity();
  if (needed <= reserved_bytes_) {
    return true;
  }
  if (!handlers_.memory->TryReserve(needed - reserved_bytes_)) {
    return false;
  }
  reserved_bytes_ = needed;
  return true;
}

void client_connection::ReleaseBodyMemory() {
  handlers_.memory->Release(std::exchange(reserved_bytes_, 0));
}

void client_connection::PrepareParser() {
  ReleaseBodyMemory();
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(static_cast<std::uint32_t>(handlers_.max_header_bytes));
  parser_->body_limit(kMaxBodyBytes);
  parser_->skip(request_.message.method() == http::verb::head);
}

void client_connection::Complete() {
  const auto on_finished = std::move(request_.on_finished);
  client_result result;
  const bool is_reusable = parser_->keep_alive() && is_write_done_ &&
                           buffer_.size() == 0 && !must_not_reuse_ &&
                           CanTellRepetitions();
  const clock::time_point idle_deadline = IdleDeadline();
  result.response = parser_->release();
  ReleaseBodyMemory();
  const std::shared_ptr<client_connection> self = shared_from_this();
  if (is_reusable) {
    request_ = {};
    state_ = state::kIdle;
    idle_deadline_ = idle_deadline;
    Read();
    handlers_.on_idle(self);
  } else {
    CloseSocket(false);
  }
  if (!on_finished) {
    return;
  }
  // The request ends also if its response cannot be understood.
  RunForConnection([&] { on_finished(std::move(result)); },
                   [&] {
                     on_finished({.error = error_kind::kInternal,
                                  .execution = execution_state::kUnknown});
                   });
}

// A response without a length ends when the peer closes the connection, but
// only if it closes it cleanly; otherwise the response counts as truncated. So
// does one whose header is incomplete.
void client_connection::OnDisconnected(error_code error) {
  const bool may_be_close_delimited =
      state_ == state::kBusy && request_.allows_close_delimited_response &&
      error == asio::error::eof && !is_broken_ && parser_->is_header_done();
  if (may_be_close_delimited) {
    error_code ending;
    parser_->put_eof(ending);
    const bool is_final = !IsInterimStatus(parser_->get().result_int());
    if (!ending && parser_->is_done() && is_final && MatchesRequest()) {
      must_not_reuse_ = true;
      return Complete();
    }
  }
  switch (state_) {
    case state::kConnecting:
      return Fail(error_kind::kEndpointUnreachable,
                  execution_state::kNotExecuted, true);
    case state::kIdle:
      return CloseSocket(true);
    case state::kBusy:
      return Fail(parser_->got_some() ? error_kind::kAnswerTruncated
                                      : error_kind::kAnswerLost,
                  execution_state::kUnknown, true);
    case state::kClosed:
      return;
  }
}

void client_connection::FailInternally() {
  Fail(error_kind::kInternal, execution_state::kUnknown, false);
}

void client_connection::Fail(error_kind kind,
                             execution_state execution,
                             bool by_peer) {
  const auto on_finished = std::move(request_.on_finished);
  CloseSocket(by_peer);
  if (on_finished) {
    on_finished(
        {.error = kind, .execution = execution, .is_closed_by_peer = by_peer});
  }
}

void client_connection::CloseSocket(bool by_peer) {
  if (state_ == state::kClosed) {
    return;
  }
  state_ = state::kClosed;
  ReleaseBodyMemory();
  connect_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
  handlers_.on_closed(shared_from_this(), by_peer);
}

}  // namespace auburnfold
