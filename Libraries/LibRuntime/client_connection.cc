#include "LibRuntime/client_connection.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace auburnfold {

namespace {

// Shorter than the idle limit of server_session; see there.
constexpr std::chrono::seconds kIdleLimit{45};
constexpr std::chrono::seconds kConnectLimit{2};
constexpr unsigned kFirstFinalStatus = 200;

}  // namespace

client_connection::client_connection(asio::io_context& io,
                                     connection_id id,
                                     const connection_handlers& handlers)
    : socket_(io), id_(id), handlers_(handlers) {}

void client_connection::Connect(const tcp::endpoint& to,
                                client_request request) {
  request_ = std::move(request);
  stale_at_ = clock::now() + kConnectLimit;
  socket_.async_connect(to, [self = shared_from_this()](error_code error) {
    self->OnConnected(error);
  });
}

void client_connection::Send(client_request request) {
  request_ = std::move(request);
  Write();
}

void client_connection::TimeOut() {
  if (state_ == state::kConnecting) {
    return Fail(error_kind::kEndpointUnreachable, run_state::kNotRun, false);
  }
  if (state_ == state::kBusy) {
    Fail(error_kind::kAnswerTimeout, run_state::kUnknown, false);
  }
}

void client_connection::Cancel() {
  request_.on_finished = nullptr;
  if (state_ == state::kConnecting) {
    is_abandoned_ = true;
    return;
  }
  if (state_ == state::kBusy) {
    Shut(false);
  }
}

void client_connection::Close() {
  switch (state_) {
    case state::kConnecting:
      return Fail(error_kind::kEndpointUnreachable, run_state::kNotRun, false);
    case state::kBusy:
      return Fail(error_kind::kAnswerLost, run_state::kUnknown, false);
    case state::kIdle:
      return Shut(false);
    case state::kClosed:
      return;
  }
}

void client_connection::CloseIfStale(clock::time_point now) {
  const bool is_waiting =
      state_ == state::kConnecting || state_ == state::kIdle;
  if (is_waiting && now >= stale_at_) {
    Close();
  }
}

void client_connection::OnConnected(error_code error) {
  if (state_ != state::kConnecting) {
    return;
  }
  if (error) {
    return Fail(error_kind::kEndpointUnreachable, run_state::kNotRun, true);
  }
  socket_.set_option(tcp::no_delay(true), error);
  if (is_abandoned_) {
    state_ = state::kIdle;
    stale_at_ = clock::now() + kIdleLimit;
    Read();
    return handlers_.on_idle(shared_from_this());
  }
  Write();
}

void client_connection::Write() {
  state_ = state::kBusy;
  PrepareParser();
  if (request_.on_sending) {
    request_.on_sending(id_);
  }
  serializer_.emplace(request_.message);
  is_write_done_ = false;
  http::async_write(socket_, *serializer_,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      self->OnWritten(error);
                    });
  if (!is_reading_) {
    Read();
  }
}

void client_connection::OnWritten(error_code error) {
  is_write_done_ = true;
  // An error is left to the read, which also finds an answer that was sent
  // before the other side closed.
  if (error && state_ == state::kBusy && !is_reading_) {
    EndByPeer(error);
  }
}

void client_connection::Read() {
  is_reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadChunkBytes),
      [self = shared_from_this()](error_code error, std::size_t size) {
        self->OnRead(error, size);
      });
}

void client_connection::OnRead(error_code error, std::size_t size) {
  is_reading_ = false;
  if (state_ == state::kClosed) {
    return;
  }
  if (error) {
    return EndByPeer(error);
  }
  buffer_.commit(size);
  if (state_ == state::kIdle) {
    // Bytes that nobody asked for belong to no request.
    return Shut(true);
  }
  Parse();
}

void client_connection::Parse() {
  error_code error;
  buffer_.consume(parser_->put(buffer_.data(), error));
  if (error && error != http::error::need_more) {
    const bool is_too_large =
        error == http::error::body_limit || error == http::error::header_limit;
    return is_too_large
               ? Fail(error_kind::kAnswerTooLarge, run_state::kRan, false)
               : Fail(error_kind::kAnswerTruncated, run_state::kUnknown, false);
  }
  if (!parser_->is_done()) {
    return Read();
  }
  // By number: Beast has no name for some of them, as 103.
  const bool is_interim = parser_->get().result_int() < kFirstFinalStatus;
  if (is_interim) {
    PrepareParser();
    return buffer_.size() > 0 ? Parse() : Read();
  }
  Complete();
}

void client_connection::PrepareParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kHeaderLimitBytes);
  parser_->body_limit(kBodyLimitBytes);
  parser_->skip(request_.message.method() == http::verb::head);
}

void client_connection::Complete() {
  const auto on_finished = std::move(request_.on_finished);
  client_result result;
  const bool is_reusable =
      parser_->keep_alive() && is_write_done_ && buffer_.size() == 0;
  result.response = parser_->release();
  const std::shared_ptr<client_connection> self = shared_from_this();
  if (is_reusable) {
    request_ = {};
    state_ = state::kIdle;
    stale_at_ = clock::now() + kIdleLimit;
    Read();
    handlers_.on_idle(self);
  } else {
    Shut(false);
  }
  if (on_finished) {
    on_finished(std::move(result));
  }
}

void client_connection::EndByPeer(error_code) {
  switch (state_) {
    case state::kConnecting:
      return Fail(error_kind::kEndpointUnreachable, run_state::kNotRun, true);
    case state::kIdle:
      return Shut(true);
    case state::kBusy:
      return Fail(parser_->got_some() ? error_kind::kAnswerTruncated
                                      : error_kind::kAnswerLost,
                  run_state::kUnknown, true);
    case state::kClosed:
      return;
  }
}

void client_connection::Fail(error_kind kind, run_state ran, bool by_peer) {
  const auto on_finished = std::move(request_.on_finished);
  Shut(by_peer);
  if (on_finished) {
    on_finished({.error = kind, .ran = ran});
  }
}

void client_connection::Shut(bool by_peer) {
  if (state_ == state::kClosed) {
    return;
  }
  state_ = state::kClosed;
  error_code ignored;
  socket_.close(ignored);
  handlers_.on_closed(shared_from_this(), by_peer);
}

}  // namespace auburnfold
