#include "LibRuntime/Connections/http_responses.h"

#include <chrono>
#include <utility>

#include "LibRuntime/Connections/message_framing.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace {

void SetRetryAfter(http_response& response, duration retry_after) {
  if (retry_after <= duration::zero()) {
    return;
  }
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
  const auto milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(retry_after);
  response.set(http::field::retry_after, std::to_string(seconds.count()));
  response.set(kRetryAfterMsHeader, std::to_string(milliseconds.count()));
}

std::string ErrorBody(std::string_view name,
                      std::string_view execution,
                      std::string_view reason) {
  std::string body = R"({"error":")";
  body += name;
  body += R"(","ran":")";
  body += execution;
  body += R"(","reason":")";
  body += reason;
  body += "\"}\n";
  return body;
}

}  // namespace

http_response MakeErrorResponse(error_kind kind,
                                execution_state execution,
                                duration retry_after,
                                const request_id& root,
                                std::string_view reason) {
  const error_traits& traits = TraitsOf(kind);
  http_response response = MakeTextResponse(
      static_cast<http::status>(traits.http_status), "application/json",
      ErrorBody(traits.name, NameOf(execution),
                reason.empty() ? traits.name : reason));
  response.set(kResultHeader, traits.name);
  response.set(kRanHeader, NameOf(execution));
  if (!root.value().empty()) {
    response.set(kRequestIdHeader, root.value());
  }
  SetRetryAfter(response, retry_after);
  return response;
}

void MarkComplete(http_response& response, const request_id& root) {
  response.set(kResultHeader, kCompleteResult);
  response.set(kRanHeader, NameOf(execution_state::kExecuted));
  response.set(kRequestIdHeader, root.value());
}

http_response MakeTextResponse(http::status status,
                               std::string_view content_type,
                               std::string body) {
  http_response response(status, kHttp11);
  response.set(http::field::content_type, content_type);
  response.body() = std::move(body);
  response.content_length(response.body().size());
  return response;
}

void FinishResponse(http_response& response, http::verb method) {
  if (method == http::verb::head || HasNoBody(response.result_int())) {
    response.body().clear();
    return;
  }
  response.content_length(response.body().size());
}

}  // namespace auburnfold
