#include "soak_client.h"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <cstdlib>
#include <thread>
#include <utility>

namespace auburnfold::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{2};
constexpr milliseconds kReconnectDelay{100};
constexpr milliseconds kQuietInterval{1000};
/// Longer than any soak.
constexpr std::chrono::hours kStays{24};
/// The longest deadline, and what an answer may be late.
constexpr milliseconds kLastAnswers{10'000};
constexpr int kDeadlineMs = 6000;
constexpr std::size_t kUsualBytes = 200;
constexpr std::size_t kQuietBatch = 6;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{8} * 1024 * 1024;
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr std::size_t kSlowReadBytes = 2000;

}  // namespace

soak_client::soak_client(std::string name,
                         client_habits habits,
                         std::vector<std::uint16_t> call_ports,
                         std::uint64_t seed,
                         traffic_record& record)
    : name_(std::move(name)),
      habits_(std::move(habits)),
      call_ports_(std::move(call_ports)),
      random_(seed),
      record_(record) {}

void soak_client::Run(const std::atomic<bool>& is_over) {
  while (!is_over) {
    if (Connect()) {
      Converse(is_over);
    } else {
      std::this_thread::sleep_for(kReconnectDelay);
    }
  }
}

bool soak_client::Connect() {
  node_ = Random(call_ports_.size());
  socket_.emplace(io_);
  boost::system::error_code error;
  socket_->connect(Local(call_ports_[node_]), error);
  if (error) {
    return false;
  }
  socket_->set_option(tcp::no_delay(true), error);
  socket_->non_blocking(true, error);
  buffer_.clear();
  parser_.reset();
  segments_.clear();
  next_batch_at_ = next_read_at_ = soak_clock::now();
  leaves_at_ = next_batch_at_ + (habits_.is_quiet || !IsOneIn(8)
                                     ? milliseconds(kStays)
                                     : milliseconds(Random(3000)));
  return !error;
}

void soak_client::Converse(const std::atomic<bool>& is_over) {
  std::optional<moment> ends_at;
  for (;;) {
    const moment now = soak_clock::now();
    if (is_over && !ends_at) {
      ends_at = now + kLastAnswers;
    }
    if (ends_at && (waiting_.empty() || now > *ends_at)) {
      waiting_.clear();
      return;
    }
    const bool sends = !ends_at && segments_.empty() && now >= next_batch_at_ &&
                       (waiting_.empty() || (!habits_.is_quiet && IsOneIn(50)));
    if (sends) {
      SendBatch();
    }
    WriteDue();
    if (!ReadSome()) {
      return EndAll(request_end::kClosed);
    }
    if (now >= leaves_at_) {
      socket_->close();
      return EndAll(request_end::kLeft);
    }
    WaitReadable(*socket_, kStep);
  }
}

void soak_client::SendBatch() {
  std::size_t count = kQuietBatch;
  if (!habits_.is_quiet) {
    const std::size_t room = habits_.max_pipelined -
                             std::min(habits_.max_pipelined, waiting_.size());
    count = IsOneIn(3) ? Random(room + 1) : std::min<std::size_t>(room, 2);
  }
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += MakeRequest();
  }
  Cut(text);
  next_batch_at_ =
      soak_clock::now() +
      (habits_.is_quiet ? kQuietInterval : milliseconds(Random(60)));
}

std::size_t soak_client::ChooseSize(std::size_t largest) {
  if (habits_.is_quiet || !IsOneIn(60)) {
    return Random(std::min(kUsualBytes, largest + 1));
  }
  return Random(largest + 1);
}

std::string soak_client::MakeRequest() {
  const std::string& service =
      habits_.services[Random(habits_.services.size())];
  const bool may_repeat = habits_.is_quiet || !IsOneIn(4);
  sent_request request{.id = name_ + '-' + std::to_string(next_++),
                       .extra_bytes = ChooseSize(habits_.max_extra_bytes),
                       .may_repeat = may_repeat,
                       .node = node_};
  const bool has_body = !habits_.is_quiet && IsOneIn(3);
  request.method = has_body ? "POST" : "GET";
  request.body_bytes = has_body ? ChooseSize(habits_.max_body_bytes) : 0;
  request.target = '/' + service + (may_repeat ? "-read/" : "-write/") +
                   request.id + '/' + std::to_string(request.extra_bytes) +
                   '/' + std::to_string(request.body_bytes);
  record_.OnSent(request);
  waiting_.push_back(request.id);
  const std::string fields =
      "Host: calls.example\r\nX-Request-Id: " + request.id +
      "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
      "\r\nX-Extra: " + TextOf(request.id + "-extra", request.extra_bytes) +
      "\r\n";
  return RequestText(request.method, request.target, fields,
                     TextOf(request.id + "-body", request.body_bytes));
}

void soak_client::Cut(const std::string& text) {
  moment due = soak_clock::now();
  for (std::size_t at = 0; at < text.size();) {
    const std::size_t size =
        IsOneIn(2) ? text.size() - at
                   : 1 + Random(std::max<std::size_t>(text.size() / 2, 1));
    segments_.push_back({text.substr(at, size), due});
    at += size;
    due += milliseconds(Random(12));
  }
}

void soak_client::WriteDue() {
  while (!segments_.empty() && soak_clock::now() >= segments_.front().due) {
    std::string& bytes = segments_.front().bytes;
    boost::system::error_code error;
    const std::size_t sent = socket_->write_some(asio::buffer(bytes), error);
    if (error == asio::error::would_block) {
      return;
    }
    if (error) {
      return segments_.clear();
    }
    bytes.erase(0, sent);
    if (bytes.empty()) {
      segments_.pop_front();
    }
  }
}

bool soak_client::ReadSome() {
  if (soak_clock::now() < next_read_at_) {
    return true;
  }
  const bool is_slow = IsOneIn(100);
  next_read_at_ = soak_clock::now() +
                  (is_slow ? milliseconds(Random(50)) : milliseconds(0));
  boost::system::error_code error;
  const std::size_t size = socket_->read_some(
      buffer_.prepare(is_slow ? kSlowReadBytes : kReadBytes), error);
  if (error == asio::error::would_block) {
    return true;
  }
  if (error) {
    return false;
  }
  buffer_.commit(size);
  return ParseAnswers();
}

bool soak_client::ParseAnswers() {
  while (buffer_.size() > 0) {
    if (!parser_) {
      parser_.emplace();
      parser_->eager(true);
      parser_->body_limit(kMaxBodyBytes);
    }
    boost::system::error_code error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    const bool is_broken = error && error != http::error::need_more;
    if (is_broken && !waiting_.empty()) {
      record_.OnAnswered(waiting_.front(), 0,
                         "no answer in HTTP: " + error.message());
      waiting_.pop_front();
    }
    if (!parser_->is_done()) {
      return !is_broken;
    }
    OnAnswer(parser_->get());
    parser_.reset();
  }
  return true;
}

void soak_client::OnAnswer(const http_response& answer) {
  if (answer.result_int() < 200) {
    return;
  }
  if (waiting_.empty()) {
    return record_.OnUnexpectedAnswer(name_);
  }
  const std::string id = waiting_.front();
  waiting_.pop_front();
  std::string problem;
  const std::string named(answer["X-Request-Id"]);
  const std::string signature(answer["X-Response-Signature"]);
  if (!named.empty() && named != id) {
    problem = "the answer names " + named;
  } else if (answer.result_int() < 300) {
    const std::size_t colon = signature.find(':');
    const std::size_t size = std::strtoull(
        signature.c_str() + std::min(colon + 1, signature.size()), nullptr, 10);
    if (signature.substr(0, colon) != id) {
      problem = "signed \"" + signature + '"';
    } else if (answer.body() != TextOf(id + "-answer", size)) {
      problem = "the body isn't the endpoint's";
    }
  }
  record_.OnAnswered(id, answer.result_int(), problem);
}

void soak_client::EndAll(request_end end) {
  for (const std::string& id : waiting_) {
    record_.OnEnded(id, end);
  }
  waiting_.clear();
}

}  // namespace auburnfold::soak
