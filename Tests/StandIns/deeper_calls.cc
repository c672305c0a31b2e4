#include "StandIns/deeper_calls.h"

#include <algorithm>
#include <array>
#include <utility>

#include "LibDecision/error_kind.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

// A little longer than the deadline, so that the node's own answer arrives.
constexpr std::chrono::milliseconds kAnswerGrace{50};

// Refusals under overload and answers after the deadline are expected; any
// other failure means that something cut a call in flight.
constexpr std::array kExpectedFailures = {
    error_kind::kOverloaded,      error_kind::kRateLimited,
    error_kind::kQueueDeadline,   error_kind::kTenantOverShare,
    error_kind::kDeadlineExpired, error_kind::kAnswerTimeout};

bool IsBroken(const std::string& reason) {
  const std::optional<error_kind> kind = ParseErrorKind(reason);
  return !kind || std::find(kExpectedFailures.begin(), kExpectedFailures.end(),
                            *kind) == kExpectedFailures.end();
}

constexpr std::array<const char*, 3> kCopiedHeaders = {
    "Auburnfold-Parent", "Auburnfold-Tenant", "Auburnfold-Request-Id"};

}  // namespace

std::optional<std::vector<deeper_call>> ParseDeeperCalls(
    std::string_view text) {
  std::vector<deeper_call> calls;
  while (!text.empty()) {
    const std::string_view one = text.substr(0, text.find(','));
    text.remove_prefix(std::min(one.size() + 1, text.size()));
    const std::size_t slash = one.find('/');
    const bool is_pair =
        slash != std::string_view::npos && slash > 0 && slash + 1 < one.size();
    if (!is_pair || calls.size() == kMostDeeperCalls) {
      return std::nullopt;
    }
    calls.push_back({std::string(one.substr(0, slash)),
                     std::string(one.substr(slash + 1))});
  }
  return calls;
}

void deeper_run::Start(bool in_parallel, on_end done) {
  done_ = std::move(done);
  const std::size_t at_once = in_parallel ? calls_.size() : 1;
  while (next_ < at_once && done_) {
    Send(next_++);
  }
}

void deeper_run::Cancel() {
  done_ = nullptr;
  for (const http_pool::token exchange : std::exchange(open_, {})) {
    node_.Cancel(exchange);
  }
}

http_request deeper_run::RequestFor(const deeper_call& call,
                                    std::chrono::milliseconds left) const {
  http_request request(http::verb::post, "/" + call.request_class, kHttp11);
  request.set(http::field::host, "endpoint");
  for (const char* name : kCopiedHeaders) {
    if (const auto found = parent_.find(name); found != parent_.end()) {
      request.set(name, found->value());
    }
  }
  request.set("Auburnfold-Service", call.service);
  request.set("Auburnfold-Class", call.request_class);
  request.set("Auburnfold-Timeout-Ms", std::to_string(left.count()));
  request.body() = call.service + "/" + call.request_class;
  request.prepare_payload();
  return request;
}

void deeper_run::Send(std::size_t index) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline_ - std::chrono::steady_clock::now());
  if (left.count() < 1) {
    deeper_end late;
    late.is_complete = false;
    late.reason = TraitsOf(error_kind::kDeadlineExpired).name;
    return End(late);
  }
  http_request request = RequestFor(calls_[index], left);
  open_.push_back(node_.Send(
      request, left + kAnswerGrace,
      [self = shared_from_this(), request](const exchange_result& result) {
        self->OnAnswer(request, result);
      }));
}

void deeper_run::OnAnswer(const http_request& sent,
                          const exchange_result& result) {
  if (!done_) {
    return;
  }
  deeper_end end;
  const bool is_ok = result.end == exchange_end::kAnswered &&
                     result.response.result() == http::status::ok;
  if (is_ok) {
    const auto id = sent["Auburnfold-Request-Id"];
    end.verdict =
        CheckAnswerBody(result.response.body(),
                        std::string_view(id.data(), id.size()), sent.body());
  }
  if (!is_ok || end.verdict != body_verdict::kWhole) {
    end.is_complete = false;
    end.reason = std::string(result.response["Auburnfold-Result"]);
    end.is_broken = IsBroken(end.reason);
    end.retry_after = std::string(result.response[http::field::retry_after]);
    return End(end);
  }
  ++answered_;
  if (answered_ == calls_.size()) {
    return End(end);
  }
  if (next_ < calls_.size()) {
    Send(next_++);
  }
}

void deeper_run::End(const deeper_end& end) {
  const on_end done = std::exchange(done_, nullptr);
  Cancel();
  if (done) {
    done(end);
  }
}

}  // namespace auburnfold
