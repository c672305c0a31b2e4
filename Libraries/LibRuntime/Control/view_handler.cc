#include "LibRuntime/Control/view_handler.h"

#include <boost/asio/ip/address.hpp>
#include <string_view>
#include <utility>

#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Control/view_codec.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace {

constexpr std::string_view kViewTarget = "/auburnfold/v1/view";

}  // namespace

view_handler::view_handler(asio::io_context& io,
                           connection_pool::id_source next_connection,
                           event_sink sink)
    : io_(io),
      next_connection_(std::move(next_connection)),
      sink_(std::move(sink)) {}

bool view_handler::IsViewRequest(const http_request& request) {
  // A forwarded call may have the same target, but names the node that forwards
  // it.
  return request.target() == kViewTarget &&
         request.find(kFromHeader) == request.end();
}

void view_handler::OnViewRequest(
    const std::shared_ptr<server_exchange>& exchange) {
  const view_call_id call(next_call_++);
  pending_.emplace(call, exchange);
  sink_(view_requested{call});
}

void view_handler::Execute(const request_view& command) {
  error_code error;
  const asio::ip::address host = asio::ip::make_address(command.to.host, error);
  if (error) {
    return;
  }
  pool_ = std::make_unique<connection_pool>(
      io_, tcp::endpoint(host, command.to.peer_port), next_connection_,
      [](connection_id) {}, memory_);
  client_request request;
  request.message = http_request_view(http::verb::get, kViewTarget, kHttp11);
  request.message.set(http::field::host, command.to.host);
  request.on_finished = [this](const client_result& result) {
    const bool is_ok =
        !result.error && result.response.result() == http::status::ok;
    auto view = is_ok ? DecodeView(result.response.body()) : std::nullopt;
    if (view) {
      sink_(view_received{*std::move(view)});
    }
  };
  pool_->Send(std::move(request));
}

void view_handler::Execute(const send_view& command) {
  const auto exchange = pending_.extract(command.call);
  if (exchange) {
    exchange.mapped()->Respond(MakeTextResponse(http::status::ok, "text/plain",
                                                EncodeView(command.view)));
  }
}

}  // namespace auburnfold
