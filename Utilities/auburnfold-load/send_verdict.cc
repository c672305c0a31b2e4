#include "auburnfold-load/send_verdict.h"

#include <charconv>

#include "auburnfold-load/answer_body.h"

namespace auburnfold {

namespace http = boost::beast::http;

namespace {

std::optional<std::int64_t> NumberIn(const http_response& response,
                                     const char* name) {
  const auto text = response[name];
  std::int64_t number = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (text.empty() || error != std::errc() || end != last) {
    return std::nullopt;
  }
  return number;
}

std::optional<std::chrono::milliseconds> RetryAfterIn(
    const http_response& response) {
  if (const auto exact = NumberIn(response, "Auburnfold-Retry-After-Ms")) {
    return std::chrono::milliseconds(*exact);
  }
  if (const auto seconds = NumberIn(response, "Retry-After")) {
    return std::chrono::seconds(*seconds);
  }
  return std::nullopt;
}

call_outcome OutcomeOf(body_verdict verdict) {
  switch (verdict) {
    case body_verdict::kWhole:
      return call_outcome::kUseful;
    case body_verdict::kForeign:
      return call_outcome::kForeign;
    case body_verdict::kPartial:
      return call_outcome::kPartial;
  }
  return call_outcome::kPartial;
}

call_outcome OutcomeOfError(const http_response& response) {
  const auto ran = response["Auburnfold-Ran"];
  if (ran == "not-run") {
    return call_outcome::kRefused;
  }
  return ran == "ran" ? call_outcome::kFailed : call_outcome::kUnknown;
}

}  // namespace

send_verdict JudgeSend(const exchange_result& result,
                       std::string_view request_id,
                       std::string_view request_body) {
  switch (result.end) {
    case exchange_end::kNotConnected:
      return {call_outcome::kRefused, std::nullopt};
    case exchange_end::kLost:
    case exchange_end::kTimedOut:
    case exchange_end::kTruncated:
      return {call_outcome::kUnknown, std::nullopt};
    case exchange_end::kAnswered:
      break;
  }
  const http_response& response = result.response;
  if (response.result() != http::status::ok) {
    return {OutcomeOfError(response), RetryAfterIn(response)};
  }
  return {OutcomeOf(CheckAnswerBody(response.body(), request_id, request_body)),
          std::nullopt};
}

}  // namespace auburnfold
