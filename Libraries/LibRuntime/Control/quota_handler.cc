#include "LibRuntime/Control/quota_handler.h"

#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Control/quota_codec.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace {

constexpr std::string_view kQuotaTarget = "/auburnfold/v1/quota";
constexpr std::string_view kJsonContentType = "application/json";
/// Calls wait for the answer, and none waits for longer.
constexpr std::chrono::milliseconds kAnswerTimeout{100};

}  // namespace

quota_handler::quota_handler(asio::io_context& io,
                             node_id self,
                             connection_pool::id_source next_connection,
                             event_sink sink)
    : io_(io),
      self_(self),
      next_connection_(std::move(next_connection)),
      sink_(std::move(sink)) {}

bool quota_handler::IsQuotaReport(const http_request& request) {
  // A forwarded call may have the same target, but names the node that forwards
  // it.
  return request.target() == kQuotaTarget &&
         request.find(kFromHeader) == request.end();
}

void quota_handler::OnQuotaReport(
    const std::shared_ptr<server_exchange>& exchange,
    const http_request& request) {
  auto report = DecodeQuotaReport(request.body());
  if (!report) {
    return exchange->Respond(MakeTextResponse(
        http::status::bad_request, "text/plain", "malformed report\n"));
  }
  const quota_call_id call(next_call_++);
  received_.emplace(call, exchange);
  sink_(quota_reported{call, report->from, std::move(report->usage)});
}

void quota_handler::Execute(const report_quota_usage& command) {
  connection_pool* pool = PoolFor(command.to);
  if (pool == nullptr) {
    return sink_(quota_granted{command.call, std::nullopt});
  }
  const auto body = std::make_shared<const std::string>(
      EncodeQuotaReport({self_, command.usage}));
  client_request request;
  request.message = http_request_view(http::verb::post, kQuotaTarget, kHttp11);
  request.message.set(http::field::host, command.to.host);
  request.message.set(http::field::content_type, kJsonContentType);
  request.message.body() = {body->data(), body->size()};
  request.message.prepare_payload();
  request.body_owner = body;
  request.on_finished = [this,
                         call = command.call](const client_result& result) {
    OnAnswered(call, result);
  };
  const auto connection = pool->Send(std::move(request));
  asio::steady_timer& timeout =
      timeouts_.emplace(command.call, asio::steady_timer(io_)).first->second;
  timeout.expires_after(kAnswerTimeout);
  timeout.async_wait([this, connection, call = command.call](error_code error) {
    // The connection may carry another report by now.
    const bool is_open = !error && timeouts_.contains(call);
    const auto open = is_open ? connection.lock() : nullptr;
    if (open) {
      open->TimeOut();
    }
  });
}

void quota_handler::Execute(const send_quota_grants& command) {
  const auto exchange = received_.extract(command.call);
  if (exchange) {
    exchange.mapped()->Respond(MakeTextResponse(
        http::status::ok, kJsonContentType, EncodeQuotaGrants(command.grants)));
  }
}

void quota_handler::Sweep() {
  for (const auto& [address, pool] : pools_) {
    pool->Sweep();
  }
  std::erase_if(pools_, [](const auto& entry) {
    return entry.second->open_count() == 0;
  });
}

void quota_handler::OnAnswered(quota_call_id call,
                               const client_result& result) {
  timeouts_.erase(call);
  const bool is_ok =
      !result.error && result.response.result() == http::status::ok;
  sink_(quota_granted{
      call, is_ok ? DecodeQuotaGrants(result.response.body()) : std::nullopt});
}

connection_pool* quota_handler::PoolFor(const node_address& to) {
  const auto found = pools_.find(to);
  if (found != pools_.end()) {
    return found->second.get();
  }
  error_code error;
  const asio::ip::address host = asio::ip::make_address(to.host, error);
  if (error) {
    return nullptr;
  }
  auto pool = std::make_unique<connection_pool>(
      io_, tcp::endpoint(host, to.peer_port), next_connection_,
      [](connection_id) {}, memory_);
  return pools_.emplace(to, std::move(pool)).first->second.get();
}

}  // namespace auburnfold
