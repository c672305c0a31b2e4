#include "StandIns/endpoint_process.h"

#include <boost/json/parse.hpp>
#include <boost/json/value_from.hpp>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <utility>

#include "StandIns/answers.h"
#include "auburnfold-load/answer_body.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kDefaultTimeout{10'000};
constexpr std::chrono::milliseconds kTimeToCrash{70};
// Served on any connection, also above the connection limit.
constexpr const char* kTestPrefix = "/test/";

instant Now() {
  return instant(clock::now().time_since_epoch());
}

std::string HeaderOf(const http_request& request, std::string_view name) {
  return std::string(request[boost::beast::string_view(name)]);
}

std::chrono::milliseconds TimeoutOf(const http_request& request) {
  const std::string text = HeaderOf(request, "Auburnfold-Timeout-Ms");
  std::int64_t milliseconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  const bool is_number =
      error == std::errc() && end == text.data() + text.size();
  return is_number ? std::chrono::milliseconds(milliseconds) : kDefaultTimeout;
}

http_response Refusal(http::status status, const char* ran, const char* why) {
  http_response answer = ErrorAnswer(status, why);
  answer.set("Auburnfold-Ran", ran);
  return answer;
}

}  // namespace

endpoint_process::endpoint_process(boost::asio::io_context& context,
                                   const endpoint_settings& settings)
    : context_(context),
      settings_(settings),
      model_(settings_.model, Now()),
      signals_(context, SIGTERM, SIGINT),
      stop_timer_(context),
      server_(
          context,
          settings_.address,
          settings_.connection_limit,
          {[this](const http_session::pointer& session, http_request request) {
             OnRequest(session, std::move(request));
           },
           [this](http_session& session) { OnClosed(session); }}) {
  if (settings_.node) {
    node_.emplace(context_, *settings_.node);
    announcer_.emplace(context_, settings_, *node_, model_);
    announcer_->Announce();
  }
  signals_.async_wait([this](boost::system::error_code error, int) {
    if (!error) {
      Leave();
      stop_timer_.expires_after(settings_.leave_time);
      stop_timer_.async_wait([this](boost::system::error_code) { Stop(); });
    }
  });
}

void endpoint_process::OnRequest(const http_session::pointer& session,
                                 http_request request) {
  const auto target = request.target();
  if (std::string_view(target.data(), target.size()).starts_with(kTestPrefix)) {
    return OnTest(session, request);
  }
  if (session->is_over_limit()) {
    return session->Drop();
  }
  const std::chrono::milliseconds timeout = TimeoutOf(request);
  const run_number run = next_run_++;
  endpoint_request seen{HeaderOf(request, "Auburnfold-Request-Id"),
                        HeaderOf(request, "Idempotency-Key"), Now() + timeout};
  if (!model_.OnArrived(Now(), run, std::move(seen))) {
    return session->Answer(Refusal(http::status::service_unavailable, "not-run",
                                   "shed before any work"));
  }
  const auto deadline = clock::now() + timeout;
  runs_.emplace(
      run, active_run{session, std::move(request), deadline,
                      boost::asio::steady_timer(context_), nullptr, false});
  run_of_session_[session.get()] = run;
  WaitUntil(run, deadline, &endpoint_process::Expire);
  StartDue();
}

void endpoint_process::OnTest(const http_session::pointer& session,
                              const http_request& request) {
  if (request.target() == "/test/record") {
    return session->Answer(
        JsonAnswer(http::status::ok, model_.record().Whole()));
  }
  if (request.target() == "/test/summary") {
    boost::json::object summary = model_.record().Summary();
    summary["foreign_below"] = foreign_below_;
    summary["partial_below"] = partial_below_;
    summary["broken_below"] = broken_below_;
    summary["failures_below"] = boost::json::value_from(failures_below_);
    summary["connections"] = server_.connection_count();
    summary["open"] = runs_.size();
    return session->Answer(JsonAnswer(http::status::ok, summary));
  }
  const bool is_put = request.method() == http::verb::put;
  if (is_put && request.target() == "/test/drain") {
    Leave();
    return session->Answer(JsonAnswer(http::status::ok, {}));
  }
  if (is_put && request.target() == "/test/faults") {
    return session->Answer(ChangeFaults(*session, request));
  }
  session->Answer(ErrorAnswer(http::status::not_found, "no such test request"));
}

http_response endpoint_process::ChangeFaults(const http_session& asking,
                                             const http_request& request) {
  try {
    model_.ChangeFaults(Now(), boost::json::parse(request.body()).as_object());
  } catch (const std::exception& error) {
    return ErrorAnswer(http::status::bad_request, error.what());
  }
  server_.SilenceShare(std::exchange(model_.faults().silence_share, 0.0),
                       asking);
  if (announcer_) {
    announcer_->Announce();
  }
  return JsonAnswer(http::status::ok, {});
}

void endpoint_process::OnClosed(http_session& session) {
  const auto found = run_of_session_.find(&session);
  if (found == run_of_session_.end()) {
    return StopIfIdle();
  }
  const run_number run = found->second;
  run_of_session_.erase(found);
  const auto gone = runs_.find(run);
  if (gone->second.deeper) {
    gone->second.deeper->Cancel();
  }
  runs_.erase(gone);
  model_.OnStopped(run, false);
  StartDue();
  StopIfIdle();
}

void endpoint_process::StartDue() {
  std::vector<run_number> expired;
  for (const started_run& started : model_.StartDue(Now(), expired)) {
    active_run& run = runs_.at(started.run);
    run.has_started = true;
    const std::string& crash_on_body = model_.faults().crash_on_body;
    if (!crash_on_body.empty() && run.request.body() == crash_on_body) {
      WaitUntil(started.run, clock::now() + kTimeToCrash,
                &endpoint_process::Crash);
      continue;
    }
    const auto end = clock::now() + started.service_time;
    if (end < run.deadline) {
      WaitUntil(started.run, end, &endpoint_process::OnWorked);
    }
  }
  // Their deadline's timers answer them.
  static_cast<void>(expired);
}

// Without any clean-up, as a process that is killed.
void endpoint_process::Crash(run_number) {
  std::_Exit(EXIT_FAILURE);
}

void endpoint_process::OnWorked(run_number run) {
  active_run& active = runs_.at(run);
  if (settings_.deeper.empty() || !node_) {
    return OnDeeperEnd(run, {});
  }
  WaitUntil(run, active.deadline, &endpoint_process::Expire);
  const auto deeper = std::make_shared<deeper_run>(
      *node_, settings_.deeper, active.request, active.deadline);
  active.deeper = deeper;
  deeper->Start(settings_.calls_in_parallel,
                [this, run](const deeper_end& end) { OnDeeperEnd(run, end); });
}

void endpoint_process::OnDeeperEnd(run_number run, const deeper_end& end) {
  foreign_below_ += end.verdict == body_verdict::kForeign ? 1 : 0;
  partial_below_ += end.verdict == body_verdict::kPartial ? 1 : 0;
  broken_below_ += end.is_broken ? 1 : 0;
  if (!end.is_complete) {
    ++failures_below_[end.reason];
    http_response failure = Refusal(http::status::bad_gateway, "ran",
                                    ("deeper call: " + end.reason).c_str());
    if (!end.retry_after.empty()) {
      failure.set(http::field::retry_after, end.retry_after);
    }
    return Finish(run, std::move(failure));
  }
  const http_request& request = runs_.at(run).request;
  http_response answer(http::status::ok, kHttp11);
  answer.set(http::field::content_type, "text/plain");
  answer.body() = MakeAnswerBody(HeaderOf(request, "Auburnfold-Request-Id"),
                                 request.body(), settings_.answer_bytes);
  Finish(run, std::move(answer));
}

void endpoint_process::Finish(run_number run, http_response answer) {
  const auto found = runs_.find(run);
  const http_session::pointer session = found->second.session;
  const endpoint_request seen = *model_.Find(run);
  model_.OnFinished(run);
  run_of_session_.erase(session.get());
  runs_.erase(found);
  endpoint_faults& faults = model_.faults();
  if (faults.lose_next > 0) {
    --faults.lose_next;
    session->Drop();
  } else if (faults.truncate_next > 0) {
    --faults.truncate_next;
    session->AnswerTruncated(std::move(answer));
  } else if (!session->is_silent()) {
    session->Answer(std::move(answer));
    model_.OnAnswered(seen);
  }
  StartDue();
  StopIfIdle();
}

void endpoint_process::Expire(run_number run) {
  const auto found = runs_.find(run);
  const http_session::pointer session = found->second.session;
  const char* ran = found->second.has_started ? "ran" : "not-run";
  if (found->second.deeper) {
    found->second.deeper->Cancel();
  }
  run_of_session_.erase(session.get());
  runs_.erase(found);
  model_.OnStopped(run, true);
  session->Answer(
      Refusal(http::status::gateway_timeout, ran, "deadline has passed"));
  StartDue();
  StopIfIdle();
}

void endpoint_process::WaitUntil(run_number run,
                                 clock::time_point when,
                                 void (endpoint_process::*then)(run_number)) {
  boost::asio::steady_timer& timer = runs_.at(run).timer;
  timer.expires_at(when);
  timer.async_wait([this, run, then](boost::system::error_code error) {
    if (!error && runs_.contains(run)) {
      (this->*then)(run);
    }
  });
}

void endpoint_process::Leave() {
  model_.Leave(Now());
  if (announcer_) {
    announcer_->Announce();
  }
}

void endpoint_process::Stop() {
  is_stopping_ = true;
  server_.Stop();
  stop_timer_.expires_after(settings_.stop_limit);
  stop_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      cut_count_ = runs_.size();
      context_.stop();
    }
  });
  StopIfIdle();
}

void endpoint_process::StopIfIdle() {
  if (is_stopping_ && runs_.empty()) {
    // Answers that are being written still leave.
    boost::asio::post(context_, [this] {
      if (server_.connection_count() == 0) {
        context_.stop();
      }
    });
  }
}

}  // namespace auburnfold
