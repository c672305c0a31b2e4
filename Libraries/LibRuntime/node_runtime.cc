#include "LibRuntime/node_runtime.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <utility>

#include "LibRuntime/admin_side.h"
#include "LibRuntime/call_handler.h"
#include "LibRuntime/control_channel.h"
#include "LibRuntime/decision_log.h"
#include "LibRuntime/decision_loop.h"
#include "LibRuntime/endpoint_report.h"
#include "LibRuntime/http_listener.h"
#include "LibRuntime/http_responses.h"
#include "LibRuntime/lazy_timer.h"
#include "LibRuntime/node_identity.h"
#include "LibRuntime/node_metrics.h"
#include "LibRuntime/own_dialect.h"
#include "LibRuntime/view_handler.h"
#include "LibRuntime/work_handler.h"

namespace auburnfold {

namespace {

using session_pointer = std::shared_ptr<server_session>;

constexpr std::chrono::seconds kSweepInterval{1};
// An answer that is still being relayed at the end is waited for.
constexpr std::chrono::milliseconds kLingerInterval{50};
constexpr std::string_view kKeysTarget = "/auburnfold/v1/keys";

// Microseconds, so that a restart within the same millisecond is a later run.
incarnation RunOfThisProcess() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count()));
}

log4cplus::Logger Log() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("auburnfold.node"));
}

}  // namespace

struct node_runtime::parts {
  parts(asio::io_context& context,
        const node_settings& from,
        any_wire_dialect spoken,
        const node_options& chosen);

  leaf::result<void> Start();
  leaf::result<void> ListenForControl();
  void Stop();
  void Execute(effect& one);
  void OnHandled(const event_content& content);

  void On(send_attempt& effect) { calls.Execute(effect); }
  void On(const cancel_attempt& effect) { calls.Execute(effect); }
  void On(const relay_answer& effect) { calls.Execute(effect); }
  void On(const refuse_call& effect) { calls.Execute(effect); }
  void On(const execute_work& effect) { works.Execute(effect); }
  void On(const cancel_work& effect) { works.Execute(effect); }
  void On(const relay_work_answer& effect) { works.Execute(effect); }
  void On(const refuse_work& effect) { works.Execute(effect); }
  void On(const answer_with_key& effect) { works.Execute(effect); }
  void On(const cache_answer& effect) { works.Execute(effect); }
  void On(const replay_answer& effect) { works.Execute(effect); }
  void On(const evict_answer& effect) { works.Execute(effect); }
  void On(const close_connection& effect);
  void On(const send_message& effect) { control.Execute(effect); }
  void On(const set_neighbours& effect) { control.Execute(effect); }
  void On(const call_store& effect);
  void On(answer_admin& effect) { admin.Execute(effect); }
  void On(const wake_at& effect);
  void On(const increment_counter& effect) {
    metrics.Count(effect.which, effect.amount);
  }
  void On(const decode_routes& effect);
  void On(const probe_endpoint& effect) { works.ProbeEndpoint(effect.path); }
  void On(const request_view& effect) { views.Execute(effect); }
  void On(const send_view& effect) { views.Execute(effect); }
  void On(const log_message& effect);
  void On(const log_decision& effect) { decisions.Write(effect.record); }
  void On(const stop_process& effect);

  void OnCallPort(const std::shared_ptr<server_session>& session,
                  http_request request);
  void OnEndpointReport(const std::shared_ptr<server_session>& session,
                        const http_request& request);
  session_handlers HandlersFor(
      std::function<void(const std::shared_ptr<server_session>&, http_request)>
          on_request);
  leaf::result<void> ListenAt(http_listener& listener,
                              const std::string& key,
                              std::uint16_t port);
  std::string MetricsText() {
    return metrics.Text(calls.open_count(), works.open_count());
  }
  void Sweep();
  void FinishIfQuiet();
  void Finish();

  asio::io_context& io;
  node_settings settings;
  any_wire_dialect dialect;
  node_options options;
  node_identity self;
  node_metrics metrics;
  decision_log decisions;
  std::uint64_t next_connection = 1;
  decision_loop loop;
  event_sink sink;
  work_handler works;
  call_handler calls;
  view_handler views;
  admin_side admin;
  control_channel control;
  http_listener call_listener;
  http_listener peer_listener;
  http_listener admin_listener;
  http_listener ready_listener;
  http_listener report_listener;
  lazy_timer wake_timer;
  asio::steady_timer sweep_timer;
  asio::steady_timer stop_timer;
  asio::steady_timer linger_timer;
  store_caller store;
  route_decoder read_routes;
  std::function<void()> on_stopped;
  std::chrono::steady_clock::time_point last_request;
  std::uint64_t aborted_requests = 0;
  bool is_stopping = false;
  bool is_reducer_done = false;
  bool is_finished = false;
};

node_runtime::parts::parts(asio::io_context& context,
                           const node_settings& from,
                           any_wire_dialect spoken,
                           const node_options& chosen)
    : io(context),
      settings(from),
      dialect(std::move(spoken)),
      options(chosen),
      self{from.node,
           RunOfThisProcess(),
           {from.host, from.peer_port, from.control_port},
           from.domain},
      metrics(from.label_limit),
      loop(
          options,
          [this](effect& one) { Execute(one); },
          [this](const event_content& content) { OnHandled(content); }),
      sink([this](event_content content) { loop.Feed(std::move(content)); }),
      works(
          io,
          self,
          dialect,
          [this] { return connection_id(next_connection++); },
          sink,
          metrics),
      calls(
          io,
          self,
          works,
          dialect,
          [this] { return connection_id(next_connection++); },
          sink,
          metrics),
      views(
          io,
          [this] { return connection_id(next_connection++); },
          sink),
      admin(sink, [this] { return MetricsText(); }),
      control(
          io,
          [this](peer_message message) {
            sink(message_received{std::move(message)});
          },
          metrics),
      call_listener(io,
                    HandlersFor([this](const session_pointer& session,
                                       http_request read) {
                      OnCallPort(session, std::move(read));
                    })),
      peer_listener(io,
                    HandlersFor([this](const session_pointer& session,
                                       http_request read) {
                      if (view_handler::IsViewRequest(read)) {
                        return views.OnViewRequest(session);
                      }
                      last_request = std::chrono::steady_clock::now();
                      works.OnWork(session, std::move(read));
                    })),
      admin_listener(io,
                     HandlersFor([this](const session_pointer& session,
                                        const http_request& read) {
                       admin.OnRequest(session, read);
                     })),
      ready_listener(io,
                     HandlersFor([this](const session_pointer& session,
                                        const http_request&) {
                       admin.AnswerReady(session);
                     })),
      report_listener(io,
                      HandlersFor([this](const session_pointer& session,
                                         const http_request& read) {
                        OnEndpointReport(session, read);
                      })),
      wake_timer(io, [this] { sink(time_passed{}); }),
      sweep_timer(io),
      stop_timer(io),
      linger_timer(io) {}

session_handlers node_runtime::parts::HandlersFor(
    std::function<void(const std::shared_ptr<server_session>&, http_request)>
        on_request) {
  session_handlers handlers;
  handlers.on_request = std::move(on_request);
  handlers.on_malformed = [this](const std::shared_ptr<server_session>& session,
                                 error_kind kind) {
    metrics.CountError(kind);
    session->SendResponseAndClose(dialect.MakeError({.kind = kind}));
  };
  return handlers;
}

leaf::result<void> node_runtime::parts::Start() {
  BOOST_LEAF_CHECK(ListenAt(call_listener, "call_port", settings.call_port));
  BOOST_LEAF_CHECK(ListenAt(peer_listener, "peer_port", settings.peer_port));
  BOOST_LEAF_CHECK(ListenAt(admin_listener, "admin_port", settings.admin_port));
  if (settings.ready_port != 0) {
    BOOST_LEAF_CHECK(
        ListenAt(ready_listener, "ready_port", settings.ready_port));
  }
  if (settings.report_port != 0) {
    BOOST_LEAF_CHECK(
        ListenAt(report_listener, "report_port", settings.report_port));
  }
  BOOST_LEAF_CHECK(ListenForControl());
  self.address.peer_port = peer_listener.port();
  if (settings.endpoint_port != 0) {
    works.SetEndpointAddress({asio::ip::make_address(settings.endpoint_host),
                              settings.endpoint_port});
  }
  LOG4CPLUS_INFO(Log(), "started at " << settings.host << ", call port "
                                      << call_listener.port());
  sink(node_started{self.node, self.run, self.address, self.domain,
                    settings.seeds, settings.service});
  Sweep();
  return {};
}

// Nodes that find each other in the registry have nothing to tell each other
// but what travels with requests.
leaf::result<void> node_runtime::parts::ListenForControl() {
  if (options.discovery == discovery_mode::kRegistry) {
    return {};
  }
  BOOST_LEAF_CHECK(leaf::try_handle_some(
      [this] { return control.Listen(settings.host, settings.control_port); },
      [this](const nng_error& error) -> leaf::result<void> {
        return leaf::new_error(
            listen_error{"control_port", settings.control_port, error.reason});
      }));
  self.address.control_port = control.port();
  return {};
}

leaf::result<void> node_runtime::parts::ListenAt(http_listener& listener,
                                                 const std::string& key,
                                                 std::uint16_t port) {
  const error_code error = listener.Listen(settings.host, port);
  if (error) {
    return leaf::new_error(listen_error{key, port, error.message()});
  }
  return {};
}

void node_runtime::parts::Stop() {
  if (is_stopping) {
    return;
  }
  is_stopping = true;
  LOG4CPLUS_INFO(Log(), "stopping");
  calls.OnStopRequested();
  works.OnStopRequested();
  admin.OnStopRequested();
  stop_timer.expires_after(settings.stop_limit);
  stop_timer.async_wait([this](error_code error) {
    if (!error) {
      Finish();
    }
  });
  sink(stop_requested{});
}

void node_runtime::parts::Execute(effect& one) {
  std::visit([this](auto& content) { On(content); }, one);
}

void node_runtime::parts::OnHandled(const event_content& content) {
  if (const auto* attempt = std::get_if<attempt_finished>(&content)) {
    return calls.DiscardAttempt(attempt->attempt);
  }
  if (const auto* work = std::get_if<work_finished>(&content)) {
    works.OnFinishHandled(work->work);
  }
}

void node_runtime::parts::On(const close_connection& effect) {
  if (!works.Close(effect.connection)) {
    calls.Close(effect.connection);
  }
}

void node_runtime::parts::On(const call_store& effect) {
  if (!store) {
    return sink(
        store_answered{effect.call, {.status = store_status::kUnavailable}});
  }
  store(effect.request, [this, call = effect.call](store_result result) {
    sink(store_answered{call, std::move(result)});
  });
}

void node_runtime::parts::On(const wake_at& effect) {
  wake_timer.Want(lazy_timer::clock::time_point(
      std::chrono::duration_cast<lazy_timer::clock::duration>(
          effect.when.time_since_epoch())));
}

void node_runtime::parts::On(const decode_routes& effect) {
  auto config = read_routes ? read_routes(effect.value) : std::nullopt;
  if (config) {
    admin.OnRoutesKnown();
  }
  sink(routes_decoded{std::move(config)});
}

void node_runtime::parts::On(const log_message& effect) {
  LOG4CPLUS_INFO(Log(), effect.text);
}

void node_runtime::parts::On(const stop_process& effect) {
  aborted_requests += effect.aborted_requests;
  is_reducer_done = true;
  FinishIfQuiet();
}

// A request may be on its way on a connection that is kept open, from a node
// that has not yet heard of the stop. It is refused as not run instead of
// meeting a closed connection.
void node_runtime::parts::FinishIfQuiet() {
  const auto quiet_at = last_request + settings.stop_linger;
  const bool is_quiet = std::chrono::steady_clock::now() >= quiet_at;
  if (is_quiet && calls.open_count() == 0 && works.open_count() == 0) {
    return Finish();
  }
  linger_timer.expires_at(
      std::max(quiet_at, std::chrono::steady_clock::now() + kLingerInterval));
  linger_timer.async_wait([this](error_code error) {
    if (!error) {
      FinishIfQuiet();
    }
  });
}

void node_runtime::parts::Finish() {
  if (is_finished) {
    return;
  }
  is_finished = true;
  aborted_requests += calls.open_count() + works.open_count();
  LOG4CPLUS_INFO(Log(), "stopped, " << aborted_requests << " requests cut");
  call_listener.Close();
  peer_listener.Close();
  admin_listener.Close();
  ready_listener.Close();
  report_listener.Close();
  sweep_timer.cancel();
  stop_timer.cancel();
  linger_timer.cancel();
  if (on_stopped) {
    on_stopped();
  }
}

void node_runtime::parts::Sweep() {
  call_listener.Sweep();
  peer_listener.Sweep();
  admin_listener.Sweep();
  ready_listener.Sweep();
  report_listener.Sweep();
  calls.Sweep();
  works.Sweep();
  control.Sweep();
  sweep_timer.expires_after(kSweepInterval);
  sweep_timer.async_wait([this](error_code error) {
    if (!error) {
      Sweep();
    }
  });
}

void node_runtime::parts::OnCallPort(
    const std::shared_ptr<server_session>& session,
    http_request request) {
  if (dialect.IsReport(request)) {
    return OnEndpointReport(session, request);
  }
  last_request = std::chrono::steady_clock::now();
  if (request.target() == kKeysTarget && request.method() == http::verb::post) {
    return calls.OnKeyRequested(session, std::move(request));
  }
  calls.OnCall(session, std::move(request));
}

void node_runtime::parts::OnEndpointReport(
    const std::shared_ptr<server_session>& session,
    const http_request& request) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(report, dialect.ReadReport(request));
        if (report.port != 0) {
          const auto host = asio::ip::make_address(settings.endpoint_host);
          works.SetEndpointAddress(tcp::endpoint(host, report.port));
        }
        sink(std::move(report.content));
        session->SendResponse(
            MakeTextResponse(http::status::ok, "text/plain", "ok\n"));
        return {};
      },
      [&](const request_error& error) {
        metrics.CountError(error.kind);
        session->SendResponse(
            dialect.MakeError({.kind = error.kind, .reason = error.reason}));
      },
      [&] { session->Close(); });
}

node_runtime::node_runtime(asio::io_context& io, const node_settings& settings)
    : node_runtime(io,
                   settings,
                   any_wire_dialect(own_dialect()),
                   node_options()) {}
node_runtime::node_runtime(asio::io_context& io,
                           const node_settings& settings,
                           any_wire_dialect dialect,
                           const node_options& options)
    : parts_(
          std::make_unique<parts>(io, settings, std::move(dialect), options)) {}
node_runtime::~node_runtime() = default;

void node_runtime::SetStoreCaller(store_caller caller) {
  parts_->store = std::move(caller);
}

void node_runtime::SetRouteDecoder(route_decoder decoder) {
  parts_->read_routes = std::move(decoder);
  parts_->admin.AwaitRoutes();
}

void node_runtime::SetAdminHandler(admin_handler handler) {
  parts_->admin.SetHandler(std::move(handler));
}

void node_runtime::SetStoppedHandler(std::function<void()> on_stopped) {
  parts_->on_stopped = std::move(on_stopped);
}

leaf::result<void> node_runtime::Start() {
  return parts_->Start();
}

void node_runtime::Stop() {
  parts_->Stop();
}

void node_runtime::SetStopLinger(std::chrono::milliseconds linger) {
  parts_->settings.stop_linger = linger;
}

void node_runtime::RequestAdmin(admin_request request,
                                admin_result_handler on_result) {
  parts_->admin.Request(std::move(request), std::move(on_result));
}

std::uint64_t node_runtime::aborted_requests() const {
  return parts_->aborted_requests;
}

std::string node_runtime::MetricsText() const {
  return parts_->MetricsText();
}

incarnation node_runtime::run() const {
  return parts_->self.run;
}

std::uint16_t node_runtime::call_port() const {
  return parts_->call_listener.port();
}

std::uint16_t node_runtime::peer_port() const {
  return parts_->peer_listener.port();
}

std::uint16_t node_runtime::control_port() const {
  return parts_->control.port();
}

std::uint16_t node_runtime::admin_port() const {
  return parts_->admin_listener.port();
}

}  // namespace auburnfold
