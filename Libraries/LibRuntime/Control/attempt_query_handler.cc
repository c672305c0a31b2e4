#include "LibRuntime/Control/attempt_query_handler.h"

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Control/attempt_query_codec.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace {

constexpr std::string_view kAttemptsTarget = "/auburnfold/v1/attempts";
constexpr std::string_view kJsonContentType = "application/json";
/// A peer that takes longer is asked again.
constexpr std::chrono::milliseconds kAnswerTimeout{500};

}  // namespace

attempt_query_handler::attempt_query_handler(
    asio::io_context& io,
    const node_identity& self,
    connection_pool::id_source next_connection,
    event_sink sink,
    std::function<bool(attempt_id)> is_in_transfer)
    : io_(io),
      self_(self),
      next_connection_(std::move(next_connection)),
      sink_(std::move(sink)),
      is_in_transfer_(std::move(is_in_transfer)) {}

bool attempt_query_handler::IsQuery(const http_request& request) {
  // A forwarded call may have the same target, but names the node that forwards
  // it.
  return request.target() == kAttemptsTarget &&
         request.find(kFromHeader) == request.end();
}

void attempt_query_handler::OnQuery(
    const std::shared_ptr<server_exchange>& exchange,
    const http_request& request,
    bool is_receiving) {
  auto asked = DecodeAttemptQuery(request.body());
  if (!asked) {
    return exchange->Respond(MakeTextResponse(
        http::status::bad_request, "text/plain", "malformed question\n"));
  }
  const attempt_query_id query(next_received_++);
  const std::string host = exchange->peer_host();
  received_.emplace(query, exchange);
  sink_(attempts_queried{query, asked->from, asked->from_run, host,
                         asked->expected_run, std::move(asked->attempts),
                         is_receiving});
}

void attempt_query_handler::Execute(const query_attempts& command) {
  error_code error;
  const asio::ip::address host = asio::ip::make_address(command.to.host, error);
  if (error) {
    return sink_(attempt_reports_received{command.query, std::nullopt});
  }
  const auto body = std::make_shared<const std::string>(EncodeAttemptQuery(
      {self_.node, self_.run, command.expected_run, command.attempts}));
  client_request request;
  request.message =
      http_request_view(http::verb::post, kAttemptsTarget, kHttp11);
  request.message.set(http::field::host, command.to.host);
  request.message.set(http::field::content_type, kJsonContentType);
  request.message.keep_alive(false);
  request.message.body() = {body->data(), body->size()};
  request.message.prepare_payload();
  request.body_owner = body;
  request.on_finished = [this,
                         query = command.query](const client_result& result) {
    OnAnswered(query, result);
  };
  const auto sent = sent_.emplace(
      command.query,
      open_query{std::make_unique<connection_pool>(
                     io_, tcp::endpoint(host, command.to.peer_port),
                     next_connection_, [](connection_id) {}, memory_),
                 asio::steady_timer(io_)});
  open_query& open = sent.first->second;
  const auto connection = open.pool->Send(std::move(request));
  open.timeout.expires_after(kAnswerTimeout);
  open.timeout.async_wait([connection](error_code error) {
    const auto late = error ? nullptr : connection.lock();
    if (late) {
      late->TimeOut();
    }
  });
}

void attempt_query_handler::Execute(const send_attempt_reports& command) {
  const auto exchange = received_.extract(command.query);
  if (!exchange) {
    return;
  }
  if (!command.reports) {
    return exchange.mapped()->Respond(
        MakeTextResponse(http::status::forbidden, "text/plain",
                         "only the node that sent an attempt may ask\n"));
  }
  exchange.mapped()->Respond(
      MakeTextResponse(http::status::ok, kJsonContentType,
                       EncodeAttemptReports(*command.reports)));
}

void attempt_query_handler::Sweep() {
  std::erase_if(sent_,
                [](const auto& entry) { return entry.second.is_answered; });
}

void attempt_query_handler::OnAnswered(attempt_query_id query,
                                       const client_result& result) {
  open_query& open = sent_.at(query);
  open.is_answered = true;
  open.timeout.cancel();
  const bool is_ok =
      !result.error && result.response.result() == http::status::ok;
  auto reports =
      is_ok ? DecodeAttemptReports(result.response.body()) : std::nullopt;
  if (reports) {
    for (attempt_report& report : *reports) {
      report.is_in_transfer = is_in_transfer_(report.attempt);
    }
  }
  sink_(attempt_reports_received{query, std::move(reports)});
}

}  // namespace auburnfold
