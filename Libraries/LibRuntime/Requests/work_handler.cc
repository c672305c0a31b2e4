#include "LibRuntime/Requests/work_handler.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <utility>

#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Requests/headers.h"
#include "LibRuntime/Requests/parent_token.h"
#include "LibRuntime/Requests/request_digest.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace {

/// An endpoint that takes longer to answer a health probe is not ready, and its
/// next report tells more.
constexpr std::chrono::seconds kProbeTimeout{1};

/// The endpoint runs on the same VM, so a connection is refused at once. Until
/// then the callers of lost answers wait.
constexpr std::chrono::milliseconds kEndpointTestTimeout{50};

/// A process that ends closes its connections and its listening socket one
/// after the other, within this time.
constexpr std::chrono::milliseconds kEndpointSettleTime{10};

}  // namespace

work_handler::work_handler(asio::io_context& io,
                           const node_identity& self,
                           const any_wire_dialect& dialect,
                           connection_pool::id_source next_connection,
                           event_sink sink,
                           node_metrics& metrics)
    : io_(io),
      self_(self),
      dialect_(dialect),
      next_connection_(std::move(next_connection)),
      sink_(std::move(sink)),
      metrics_(metrics),
      deadline_timer_(io, [this] { TimeOutWork(); }),
      settle_timer_(io) {}

void work_handler::OnWork(const std::shared_ptr<server_exchange>& exchange,
                          http_request request) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(read, ReadForwardedHeaders(request));
        Accept(exchange, std::move(request), std::move(read));
        return {};
      },
      [&](const request_error& error) {
        metrics_.CountError(error.kind);
        exchange->Respond(
            MakeErrorResponse(error.kind, execution_state::kNotExecuted,
                              duration::zero(), request_id(), error.reason));
      },
      [](const std::exception&) { throw; }, [&] { exchange->EndConnection(); });
}

void work_handler::Accept(const std::shared_ptr<server_exchange>& exchange,
                          http_request request,
                          forwarded_metadata read) {
  request_metadata& metadata = read.metadata;
  if (exchange->HasPeerClosed()) {
    sink_(request_abandoned{std::move(metadata)});
    return exchange->CloseConnection();
  }
  const work_id id(next_work_++);
  StripHeaders(request);
  metadata.digest = DigestOf(request, dialect_.IdentityOf(request, metadata));
  open_work& open = open_work_[id];
  open.exchange = exchange;
  open.request = std::move(request);
  open.metadata = metadata;
  open.arrived = clock::now();
  exchange->SetRequest(metadata.own_id, open.arrived + metadata.time_left);
  exchange->SetDisconnectHandler([this, id] { OnForwarderDisconnected(id); });
  // All nodes use the same peer port.
  sink_(work_arrived{
      id,
      read.from,
      {.host = exchange->peer_host(), .peer_port = self_.address.peer_port},
      std::move(metadata),
      read.expected_run,
      read.attempt});
}

void work_handler::OnForwarderDisconnected(work_id work) {
  const auto found = open_work_.find(work);
  if (found == open_work_.end()) {
    return;
  }
  found->second.exchange.reset();
  const bool is_executing = found->second.is_executing;
  sink_(work_cancelled{work});
  // Executing work stays until the reducer cancels it or the endpoint answers.
  if (!is_executing) {
    open_work_.erase(work);
  }
}

void work_handler::SetEndpointAddress(const tcp::endpoint& address) {
  if (pool_ && endpoint_ == address) {
    return;
  }
  if (pool_) {
    former_pools_.push_back(std::move(pool_));
  }
  endpoint_ = address;
  pool_ = std::make_unique<connection_pool>(
      io_, address, next_connection_,
      [this](connection_id closed) {
        sink_(connection_closed{closed, {}});
      },
      memory_);
}

void work_handler::ProbeEndpoint(const std::string& path) {
  const bool is_probing = clock::now() < probe_deadline_;
  if (!pool_ || is_probing) {
    return;
  }
  client_request out;
  out.message.method(http::verb::get);
  out.message.target(path);
  out.message.version(kHttp11);
  out.message.set(http::field::host, endpoint_.address().to_string());
  out.allows_close_delimited_response =
      dialect_.allows_close_delimited_responses();
  out.echoed_header = dialect_.echoed_header();
  out.on_finished = [this](const client_result& result) {
    probe_deadline_ = {};
    if (result.error) {
      return;
    }
    if (auto report = dialect_.ReadEndpointState(result.response)) {
      sink_(*std::move(report));
    }
  };
  probe_deadline_ = clock::now() + kProbeTimeout;
  deadline_timer_.ScheduleNoLaterThan(probe_deadline_);
  probe_ = pool_->Send(std::move(out));
}

void work_handler::Execute(const execute_work& command) {
  const auto found = open_work_.find(command.work);
  if (found == open_work_.end() || !pool_) {
    return sink_(work_finished{command.work,
                               {.error = error_kind::kEndpointUnreachable,
                                .execution = execution_state::kNotExecuted}});
  }
  open_work& open = found->second;
  open.is_executing = true;
  open.deadline = clock::now() + command.time_left;
  deadline_timer_.ScheduleNoLaterThan(open.deadline);
  metrics_.ObserveQueueWait(open.metadata.request_class,
                            clock::now() - open.arrived);
  auto request = std::make_shared<http_request>(std::move(open.request));
  client_request out;
  out.message.base() = std::move(request->base());
  out.message.version(kHttp11);
  out.message.body() = {request->body().data(), request->body().size()};
  dialect_.AddEndpointHeaders(
      out.message,
      {open.metadata, command.time_left, command.endpoint,
       parent_token{self_.node, self_.run, command.work}.Format()});
  out.allows_close_delimited_response =
      dialect_.allows_close_delimited_responses();
  out.echoed_header = dialect_.echoed_header();
  if (!out.echoed_header.empty()) {
    out.echoed_value = std::string(out.message[out.echoed_header]);
  }
  out.message.prepare_payload();
  out.body_owner = std::move(request);
  out.on_sending = [this, work = command.work](connection_id connection) {
    sink_(work_sent{work, connection});
  };
  out.on_finished = [this, work = command.work](client_result result) {
    OnExecutionFinished(work, std::move(result));
  };
  open.connection = pool_->Send(std::move(out));
}

void work_handler::Execute(const cancel_work& cancelled) {
  const auto found = open_work_.find(cancelled.work);
  if (found == open_work_.end()) {
    return;
  }
  found->second.is_executing = false;
  if (const auto connection = found->second.connection.lock()) {
    connection->Cancel();
  }
  if (!found->second.exchange) {
    open_work_.erase(found);
  }
}

void work_handler::Execute(const relay_work_answer& relayed) {
  const auto found = open_work_.find(relayed.work);
  if (found == open_work_.end()) {
    return;
  }
  http_response response = std::move(found->second.response);
  StripHeaders(response);
  response.set(kResultHeader, kCompleteResult);
  metrics_.ObserveWork(found->second.metadata.request_class,
                       clock::now() - found->second.arrived);
  SendResponse(relayed.work, std::move(response), relayed.metadata);
}

void work_handler::Execute(const refuse_work& refused) {
  metrics_.CountError(refused.kind);
  const auto found = open_work_.find(refused.work);
  if (found == open_work_.end()) {
    return;
  }
  SendResponse(refused.work,
               MakeErrorResponse(refused.kind, refused.execution,
                                 refused.metadata.retry_after,
                                 found->second.metadata.root, {}),
               refused.metadata);
}

void work_handler::Execute(const answer_with_key& issued) {
  const auto found = open_work_.find(issued.work);
  if (found == open_work_.end()) {
    return;
  }
  http_response response =
      MakeTextResponse(http::status::created, "text/plain", issued.key.value());
  response.set(kIdempotencyKeyHeader, issued.key.value());
  MarkComplete(response, found->second.metadata.root);
  SendResponse(issued.work, std::move(response), issued.metadata);
}

void work_handler::Execute(const cache_answer& cached) {
  const auto found = open_work_.find(cached.work);
  if (found == open_work_.end()) {
    return;
  }
  http_response& cached_response = cached_responses_[cached.key];
  cached_response = found->second.response;
  StripHeaders(cached_response);
}

void work_handler::Execute(const replay_answer& replayed) {
  const auto found = open_work_.find(replayed.work);
  const auto cached_response = cached_responses_.find(replayed.key);
  if (found == open_work_.end()) {
    return;
  }
  const request_id& root = found->second.metadata.root;
  if (cached_response == cached_responses_.end()) {
    return SendResponse(
        replayed.work,
        MakeErrorResponse(error_kind::kInternal, execution_state::kUnknown,
                          duration::zero(), root,
                          "the remembered answer is missing"),
        replayed.metadata);
  }
  http_response response = cached_response->second;
  MarkComplete(response, root);
  SendResponse(replayed.work, std::move(response), replayed.metadata);
}

void work_handler::Execute(const evict_answer& evicted) {
  cached_responses_.erase(evicted.key);
}

void work_handler::OnFinishHandled(work_id work) {
  const auto found = open_work_.find(work);
  if (found == open_work_.end()) {
    return;
  }
  found->second.is_executing = false;
  if (!found->second.exchange) {
    open_work_.erase(found);
  }
}

bool work_handler::Close(connection_id connection) {
  if (pool_ && pool_->Close(connection)) {
    return true;
  }
  return std::any_of(
      former_pools_.begin(), former_pools_.end(),
      [connection](const std::unique_ptr<connection_pool>& pool) {
        return pool->Close(connection);
      });
}

void work_handler::Sweep() {
  if (pool_) {
    pool_->Sweep();
  }
  for (const std::unique_ptr<connection_pool>& pool : former_pools_) {
    pool->Sweep();
  }
  std::erase_if(former_pools_,
                [](const std::unique_ptr<connection_pool>& pool) {
                  return pool->open_count() == 0;
                });
}

void work_handler::Fail(work_id work) {
  const auto failed = open_work_.extract(work);
  if (failed && failed.mapped().exchange) {
    failed.mapped().exchange->EndConnection();
  }
}

const request_metadata* work_handler::MetadataOf(work_id work) const {
  const auto found = open_work_.find(work);
  return found == open_work_.end() ? nullptr : &found->second.metadata;
}

void work_handler::OnExecutionFinished(work_id work, client_result result) {
  outcome ended{.error = result.error, .execution = result.execution};
  if (!result.error) {
    ended = dialect_.ReadEndpointOutcome(result.response);
    const auto found = open_work_.find(work);
    if (found != open_work_.end()) {
      found->second.response = std::move(result.response);
    }
  }
  const bool is_answer_lost = result.error == error_kind::kAnswerLost ||
                              result.error == error_kind::kAnswerTruncated;
  if (is_answer_lost && result.is_closed_by_peer && pool_) {
    return ReportAfterTest(work, ended);
  }
  sink_(work_finished{work, ended});
}

// All connections of an endpoint that crashes close, and it accepts no new one.
void work_handler::ReportAfterTest(work_id work, const outcome& ended) {
  untested_.push_back({work, ended});
  if (untested_.size() > 1) {
    return;
  }
  settle_timer_.expires_after(kEndpointSettleTime);
  settle_timer_.async_wait([this](error_code error) {
    if (!error) {
      pool_->TestPeer(kEndpointTestTimeout, [this](bool is_refused) {
        OnEndpointTested(is_refused);
      });
    }
  });
}

void work_handler::OnEndpointTested(bool is_refused) {
  for (work_finished& finished : std::exchange(untested_, {})) {
    if (is_refused) {
      finished.result.error = error_kind::kEndpointCrashed;
    }
    sink_(std::move(finished));
  }
}

void work_handler::SendResponse(work_id work,
                                http_response response,
                                const answer_metadata& metadata) {
  const auto found = open_work_.find(work);
  const std::shared_ptr<server_exchange> exchange =
      std::move(found->second.exchange);
  open_work_.erase(found);
  if (!exchange) {
    return;
  }
  WriteAnswerMetadata(response, metadata);
  if (is_stopping_) {
    return exchange->RespondAndDrain(std::move(response));
  }
  exchange->Respond(std::move(response));
}

void work_handler::TimeOutWork() {
  const clock::time_point now = clock::now();
  clock::time_point next = clock::time_point::max();
  std::vector<std::shared_ptr<client_connection>> due;
  for (const auto& [id, open] : open_work_) {
    if (!open.is_executing) {
      continue;
    }
    if (open.deadline > now) {
      next = std::min(next, open.deadline);
    } else if (auto connection = open.connection.lock()) {
      due.push_back(std::move(connection));
    }
  }
  if (probe_deadline_ > now) {
    next = std::min(next, probe_deadline_);
  } else if (auto probe = probe_.lock();
             probe && probe_deadline_ != clock::time_point()) {
    due.push_back(std::move(probe));
  }
  deadline_timer_.ScheduleNoLaterThan(next);
  for (const std::shared_ptr<client_connection>& connection : due) {
    connection->TimeOut();
  }
}

}  // namespace auburnfold
