#include "LibRuntime/admin_side.h"

#include <utility>

#include "LibRuntime/http_responses.h"

namespace auburnfold {

namespace {

constexpr std::string_view kPlainText = "text/plain; charset=utf-8";
constexpr std::string_view kMetricsText =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace

admin_side::admin_side(event_sink sink,
                       std::function<std::string()> metrics_text)
    : sink_(std::move(sink)), metrics_text_(std::move(metrics_text)) {}

void admin_side::OnRequest(const std::shared_ptr<server_session>& session,
                           const http_request& request) {
  const std::string_view target = request.target();
  if (target == "/metrics") {
    return session->SendResponse(
        MakeTextResponse(http::status::ok, kMetricsText, metrics_text_()));
  }
  if (target == "/healthz") {
    return session->SendResponse(
        MakeTextResponse(http::status::ok, kPlainText, "alive\n"));
  }
  if (target == "/readyz") {
    return AnswerReady(session);
  }
  const bool is_taken =
      handler_ && handler_(request, [session](http_response response) {
        session->SendResponse(std::move(response));
      });
  if (!is_taken) {
    session->SendResponse(MakeTextResponse(http::status::not_found, kPlainText,
                                           "no such path\n"));
  }
}

void admin_side::AnswerReady(
    const std::shared_ptr<server_session>& session) const {
  if (is_stopping_) {
    return session->SendResponse(MakeTextResponse(
        http::status::service_unavailable, kPlainText, "stopping\n"));
  }
  if (awaits_routes_) {
    return session->SendResponse(MakeTextResponse(
        http::status::service_unavailable, kPlainText, "no routes yet\n"));
  }
  session->SendResponse(
      MakeTextResponse(http::status::ok, kPlainText, "ready\n"));
}

void admin_side::Request(admin_request request,
                         admin_result_handler on_result) {
  const admin_call_id call(next_call_++);
  waiting_.emplace(call, std::move(on_result));
  sink_(admin_requested{call, std::move(request)});
}

void admin_side::Execute(answer_admin& answered) {
  const auto found = waiting_.find(answered.call);
  if (found == waiting_.end()) {
    return;
  }
  const admin_result_handler on_result = std::move(found->second);
  waiting_.erase(found);
  on_result(std::move(answered.result));
}

}  // namespace auburnfold
