#include "LibRuntime/Requests/call_handler.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <utility>
#include <vector>

#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Requests/headers.h"
#include "LibRuntime/Requests/hexadecimal.h"
#include "LibRuntime/Requests/parent_token.h"
#include "LibRuntime/Requests/request_digest.h"
#include "LibRuntime/Requests/work_handler.h"

namespace auburnfold {

namespace {

duration TimeSince(call_handler::clock::time_point since) {
  return std::chrono::duration_cast<duration>(call_handler::clock::now() -
                                              since);
}

}  // namespace

call_handler::call_handler(asio::io_context& io,
                           const node_identity& self,
                           const work_handler& work,
                           const any_wire_dialect& dialect,
                           connection_pool::id_source next_connection,
                           event_sink sink,
                           node_metrics& metrics)
    : io_(io),
      self_(self),
      work_handler_(work),
      dialect_(dialect),
      next_connection_(std::move(next_connection)),
      sink_(std::move(sink)),
      metrics_(metrics),
      deadline_timer_(io, [this] { TimeOutAttempts(); }) {}

void call_handler::OnCall(const std::shared_ptr<server_exchange>& exchange,
                          http_request request) {
  Open(exchange, std::move(request), request_purpose::kExecute);
}

void call_handler::OnKeyRequested(
    const std::shared_ptr<server_exchange>& exchange,
    http_request request) {
  Open(exchange, std::move(request), request_purpose::kIssueKey);
}

void call_handler::Open(const std::shared_ptr<server_exchange>& exchange,
                        http_request request,
                        request_purpose purpose) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(read, dialect_.ReadCallerRequest(request));
        read.metadata.purpose = purpose;
        Accept(exchange, std::move(request), std::move(read));
        return {};
      },
      [&](const request_error& error) {
        metrics_.CountError(error.kind);
        exchange->Respond(
            dialect_.MakeError({.kind = error.kind, .reason = error.reason}));
      },
      [](const std::exception&) { throw; }, [&] { exchange->EndConnection(); });
}

void call_handler::Accept(const std::shared_ptr<server_exchange>& exchange,
                          http_request request,
                          caller_request read) {
  request_metadata metadata = std::move(read.metadata);
  call_arrived arrived{.call = call_id(next_call_++),
                       .target = std::move(read.target),
                       .has_parent = !read.parent.empty(),
                       .may_have_parent = read.may_have_parent,
                       .key = std::move(read.key)};
  if (arrived.has_parent) {
    const std::optional<parent_token> parent = parent_token::Parse(read.parent);
    const bool is_ours =
        parent && parent->node == self_.node && parent->run == self_.run;
    if (const request_metadata* parent_metadata =
            is_ours ? work_handler_.MetadataOf(parent->work) : nullptr) {
      arrived.parent = parent->work;
      metadata.root = parent_metadata->root;
      metadata.depth = static_cast<std::uint16_t>(parent_metadata->depth + 1);
    }
  }
  if (metadata.root.value().empty()) {
    metadata.root = request_id(ToHexadecimal(self_.run.value()) + '-' +
                               ToHexadecimal(arrived.call.value()));
  }
  if (metadata.own_id.value().empty()) {
    metadata.own_id = metadata.root;
  }
  const std::size_t depth = exchange->CountBefore();
  arrived.is_pipelined = depth > 0;
  arrived.behind = exchange->CallBefore();
  arrived.answer_room = exchange->ResponseRoom();
  arrived.waited = TimeSince(exchange->read_at());
  metrics_.ObservePipelining(depth);
  if (exchange->HasPeerClosed()) {
    sink_(request_abandoned{std::move(metadata)});
    return exchange->CloseConnection();
  }
  StripHeaders(request);
  dialect_.AddOriginHeaders(request);
  metadata.digest = DigestOf(request, dialect_.IdentityOf(request, metadata));
  calls_.emplace(
      arrived.call,
      open_call{exchange, std::make_shared<http_request>(std::move(request)),
                metadata.own_id, metadata.request_class, metadata.tenant,
                exchange->read_at(), std::nullopt});
  exchange->set_call(arrived.call);
  exchange->SetRequest(metadata.own_id,
                       exchange->read_at() + metadata.time_left);
  exchange->SetDisconnectHandler([this, call = arrived.call] {
    if (calls_.erase(call) > 0) {
      sink_(call_cancelled{call});
    }
  });
  arrived.metadata = std::move(metadata);
  if (arrived.is_pipelined) {
    calls_.at(arrived.call).pipelined = arrived;
  }
  sink_(std::move(arrived));
}

void call_handler::Execute(const defer_call& deferred) {
  const auto found = calls_.find(deferred.call);
  if (found == calls_.end() || !found->second.pipelined) {
    return;
  }
  found->second.exchange->Defer([this, call = deferred.call] { Resume(call); });
}

void call_handler::Execute(const reserve_answer& reserved) {
  const auto found = calls_.find(reserved.call);
  if (found != calls_.end()) {
    found->second.exchange->ReserveExpected(reserved.bytes);
  }
}

void call_handler::Resume(call_id call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) {
    return;
  }
  call_arrived arrived = *std::move(found->second.pipelined);
  found->second.pipelined.reset();
  arrived.is_pipelined = false;
  arrived.behind.reset();
  arrived.waited = TimeSince(found->second.started);
  sink_(std::move(arrived));
}

void call_handler::Execute(send_attempt& sent) {
  const auto found = calls_.find(sent.call);
  if (found == calls_.end()) {
    return sink_(
        attempt_finished{sent.attempt,
                         {.error = error_kind::kCallerGone,
                          .execution = execution_state::kNotExecuted}});
  }
  connection_pool* pool = PoolFor(sent.to, sent.node);
  if (pool == nullptr) {
    return sink_(
        attempt_finished{sent.attempt,
                         {.error = error_kind::kEndpointUnreachable,
                          .execution = execution_state::kNotExecuted}});
  }
  const std::shared_ptr<const http_request>& request = found->second.request;
  client_request out;
  out.message.base() = request->base();
  out.message.version(kHttp11);
  out.message.body() = {request->body().data(), request->body().size()};
  WriteForwardedHeaders(out.message, sent.metadata,
                        {self_.node, self_.run, sent.attempt},
                        sent.expected_run);
  out.message.prepare_payload();
  out.body_owner = request;
  out.on_sending = [this, attempt = sent.attempt](connection_id connection) {
    sink_(attempt_sent{attempt, connection});
  };
  out.on_finished = [this, attempt = sent.attempt](client_result result) {
    OnAttemptFinished(attempt, std::move(result));
  };
  open_attempt& attempt = attempts_[sent.attempt];
  attempt.deadline = clock::now() + sent.metadata.time_left;
  deadline_timer_.ScheduleNoLaterThan(attempt.deadline);
  attempt.connection = pool->Send(std::move(out));
}

bool call_handler::IsInTransfer(attempt_id attempt) const {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return false;
  }
  const auto connection = found->second.connection.lock();
  return connection && connection->is_in_transfer();
}

void call_handler::Execute(const cancel_attempt& cancelled) {
  const auto found = attempts_.find(cancelled.attempt);
  if (found == attempts_.end()) {
    return;
  }
  if (const auto connection = found->second.connection.lock()) {
    connection->Cancel();
  }
  attempts_.erase(found);
}

void call_handler::Execute(const relay_answer& relayed) {
  const auto call = calls_.find(relayed.call);
  const auto attempt = attempts_.find(relayed.attempt);
  if (call == calls_.end() || attempt == attempts_.end()) {
    return;
  }
  http_response response = std::move(attempt->second.response);
  if (!call->second.exchange->ReserveResponse(response.body().size())) {
    return Execute(refuse_call{relayed.call, error_kind::kAnswerTooLarge,
                               execution_state::kExecuted});
  }
  StripHeaders(response);
  dialect_.MarkComplete(response, call->second.id);
  metrics_.ObserveCall(call->second.request_class, call->second.tenant,
                       clock::now() - call->second.started);
  SendResponse(relayed.call, std::move(response));
}

void call_handler::Execute(const refuse_call& refused) {
  metrics_.CountError(refused.kind);
  const auto call = calls_.find(refused.call);
  if (call == calls_.end()) {
    return;
  }
  SendResponse(refused.call,
               dialect_.MakeError({.kind = refused.kind,
                                   .execution = refused.execution,
                                   .retry_after = refused.retry_after,
                                   .request = call->second.id}));
}

void call_handler::SendResponse(call_id call, http_response response) {
  const auto found = calls_.find(call);
  const std::shared_ptr<server_exchange> exchange =
      std::move(found->second.exchange);
  calls_.erase(found);
  if (is_stopping_) {
    return exchange->RespondAndDrain(std::move(response));
  }
  exchange->Respond(std::move(response));
}

void call_handler::Fail(call_id call) {
  const auto failed = calls_.extract(call);
  if (failed && failed.mapped().exchange) {
    failed.mapped().exchange->EndConnection();
  }
}

request_id call_handler::RequestOf(call_id call) const {
  const auto found = calls_.find(call);
  return found == calls_.end() ? request_id() : found->second.id;
}

bool call_handler::Close(connection_id connection) {
  return std::any_of(pools_.begin(), pools_.end(), [&](const auto& entry) {
    return entry.second->Close(connection);
  });
}

void call_handler::CloseIfIdle(connection_id connection) {
  for (const auto& [address, pool] : pools_) {
    pool->CloseIfIdle(connection);
  }
}

void call_handler::Sweep() {
  for (const auto& [address, pool] : pools_) {
    pool->Sweep();
  }
  std::erase_if(pools_, [](const auto& entry) {
    return entry.second->open_count() == 0;
  });
}

connection_pool* call_handler::PoolFor(const node_address& to, node_id node) {
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
      [this, node](connection_id closed) {
        sink_(connection_closed{closed, node});
      },
      memory_, kMaxHeaderBytes + kMaxAddedHeaderBytes);
  return pools_.emplace(to, std::move(pool)).first->second.get();
}

void call_handler::OnAttemptFinished(attempt_id attempt, client_result result) {
  outcome ended{.error = result.error, .execution = result.execution};
  if (!result.error) {
    ended = ReadPeerOutcome(result.response);
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end()) {
      found->second.response = std::move(result.response);
    }
  }
  sink_(attempt_finished{attempt, ended});
}

void call_handler::TimeOutAttempts() {
  const clock::time_point now = clock::now();
  clock::time_point next = clock::time_point::max();
  std::vector<std::shared_ptr<client_connection>> due;
  for (const auto& [id, attempt] : attempts_) {
    if (attempt.deadline > now) {
      next = std::min(next, attempt.deadline);
    } else if (auto connection = attempt.connection.lock()) {
      due.push_back(std::move(connection));
    }
  }
  deadline_timer_.ScheduleNoLaterThan(next);
  for (const std::shared_ptr<client_connection>& connection : due) {
    connection->TimeOut();
  }
}

}  // namespace auburnfold
