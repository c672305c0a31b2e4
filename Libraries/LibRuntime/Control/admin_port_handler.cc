#include "LibRuntime/Control/admin_port_handler.h"

#include <utility>

#include "LibRuntime/Connections/http_responses.h"

namespace auburnfold {

namespace {

constexpr std::string_view kTextContentType = "text/plain; charset=utf-8";
constexpr std::string_view kMetricsContentType =
    "text/plain; version=0.0.4; charset=utf-8";

}  // namespace

admin_port_handler::admin_port_handler(
    event_sink sink,
    std::function<std::string()> metrics_text)
    : sink_(std::move(sink)), metrics_text_(std::move(metrics_text)) {}

void admin_port_handler::OnRequest(
    const std::shared_ptr<server_exchange>& exchange,
    const http_request& request) {
  const std::string_view target = request.target();
  if (target == "/metrics") {
    return exchange->Respond(MakeTextResponse(
        http::status::ok, kMetricsContentType, metrics_text_()));
  }
  if (target == "/healthz") {
    return exchange->Respond(
        MakeTextResponse(http::status::ok, kTextContentType, "alive\n"));
  }
  if (target == "/readyz") {
    return HandleReadinessRequest(exchange);
  }
  const bool is_handled =
      handler_ && handler_(request, [exchange](http_response response) {
        exchange->Respond(std::move(response));
      });
  if (!is_handled) {
    exchange->Respond(MakeTextResponse(http::status::not_found,
                                       kTextContentType, "no such path\n"));
  }
}

void admin_port_handler::HandleReadinessRequest(
    const std::shared_ptr<server_exchange>& exchange) const {
  if (is_stopping_) {
    return exchange->Respond(MakeTextResponse(http::status::service_unavailable,
                                              kTextContentType, "stopping\n"));
  }
  if (is_waiting_for_routes_) {
    return exchange->Respond(MakeTextResponse(http::status::service_unavailable,
                                              kTextContentType,
                                              "no routes yet\n"));
  }
  exchange->Respond(
      MakeTextResponse(http::status::ok, kTextContentType, "ready\n"));
}

void admin_port_handler::SubmitRequest(admin_request request,
                                       admin_result_handler on_result) {
  const admin_call_id call(next_call_id_++);
  pending_requests_.emplace(call, std::move(on_result));
  sink_(admin_requested{call, std::move(request)});
}

void admin_port_handler::Execute(answer_admin& effect) {
  const auto found = pending_requests_.find(effect.call);
  if (found == pending_requests_.end()) {
    return;
  }
  const admin_result_handler on_result = std::move(found->second);
  pending_requests_.erase(found);
  on_result(std::move(effect.result));
}

}  // namespace auburnfold
