#include "LibRuntime/node_runtime.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <exception>
#include <limits>
#include <unordered_map>
#include <utility>

#include "LibDecision/text_words.h"
#include "LibRuntime/Connections/http_listener.h"
#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Control/admin_port_handler.h"
#include "LibRuntime/Control/attempt_query_handler.h"
#include "LibRuntime/Control/control_channel.h"
#include "LibRuntime/Control/quota_handler.h"
#include "LibRuntime/Control/view_handler.h"
#include "LibRuntime/Observability/decision_log.h"
#include "LibRuntime/Observability/event_loop_monitor.h"
#include "LibRuntime/Observability/node_metrics.h"
#include "LibRuntime/Requests/call_handler.h"
#include "LibRuntime/Requests/endpoint_report.h"
#include "LibRuntime/Requests/own_dialect.h"
#include "LibRuntime/Requests/work_handler.h"
#include "LibRuntime/decision_loop.h"
#include "LibRuntime/failed_effect.h"
#include "LibRuntime/lazy_timer.h"
#include "LibRuntime/node_identity.h"

namespace auburnfold {

namespace {

using exchange_ptr = std::shared_ptr<server_exchange>;

constexpr std::chrono::seconds kSweepInterval{1};
// How often a stopping node checks whether all answers have been relayed.
constexpr std::chrono::milliseconds kIdleCheckInterval{50};
// Callers may hold this part of the file descriptors; the others are for
// connections to and from nodes, the endpoint and the key-value store.
constexpr std::size_t kCallerDescriptorDivisor = 2;
// A request that finds no memory for its body may be sent again after this
// time.
constexpr std::chrono::milliseconds kMemoryRetryDelay{200};
// What one connection may have open at once; many more would let one caller
// take the place of others.
constexpr std::size_t kMaxPipelinedCalls = 16;
constexpr std::size_t kLargestHeaderBytes = caller_limits::kMaxHeaderBytes;
constexpr std::size_t kMaxLoggedIdBytes = 128;
constexpr std::string_view kIdempotencyKeysTarget = "/auburnfold/v1/keys";

// Counts microseconds, so that a restart within the same millisecond gets a
// higher incarnation.
incarnation NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
          .count()));
}

// The number of file descriptors that this process may have open.
std::size_t DescriptorLimit() {
  rlimit limit{};
  const bool is_known = getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return is_known ? limit.rlim_cur : std::numeric_limits<std::size_t>::max();
}

log4cplus::Logger Log() {
  return log4cplus::Logger::getInstance(LOG4CPLUS_TEXT("auburnfold.node"));
}

}  // namespace

struct node_runtime::impl {
  impl(asio::io_context& context,
       const node_settings& initial_settings,
       any_wire_dialect selected_dialect,
       const node_options& selected_options);

  leaf::result<void> Start();
  void SetInitialLimits();
  leaf::result<void> ListenForControlMessages();
  void Stop();
  void Execute(effect& next_effect);

  /// The request that an effect is about; empty if it is about none.
  template <class effect_type>
  request_id RequestOf(const effect_type& effect) const {
    if constexpr (requires { calls.RequestOf(effect.call); }) {
      return calls.RequestOf(effect.call);
    } else if constexpr (requires { works.MetadataOf(effect.work); }) {
      const request_metadata* metadata = works.MetadataOf(effect.work);
      return metadata == nullptr ? request_id() : metadata->own_id;
    }
    return {};
  }

  /// Ends what could not be answered because carrying out the effect threw.
  void OnFailed(const relay_answer& failed) {
    RefuseOrClose(failed.call, execution_state::kExecuted);
  }
  void OnFailed(const defer_call& failed) {
    RefuseOrClose(failed.call, execution_state::kNotExecuted);
  }
  void OnFailed(const acknowledge_report& failed) {
    CloseReport(failed.report);
  }
  void OnFailed(const refuse_report& failed) { CloseReport(failed.report); }
  void OnFailed(const refuse_call& failed) { calls.Fail(failed.call); }
  void OnFailed(const relay_work_answer& failed) { works.Fail(failed.work); }
  void OnFailed(const refuse_work& failed) { works.Fail(failed.work); }
  void OnFailed(const answer_with_key& failed) { works.Fail(failed.work); }
  void OnFailed(const replay_answer& failed) { works.Fail(failed.work); }
  template <class effect_type>
  void OnFailed(const effect_type&) {}

  /// Answers a call whose answer, if the endpoint gave one, is lost.
  void RefuseOrClose(call_id call, execution_state execution);
  void CloseReport(report_id report);

  void OnEventCompleted(const event_content& content);

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
  void On(const close_idle_connection& effect) {
    calls.CloseIfIdle(effect.connection);
  }
  void On(const send_message& effect) { control.Execute(effect); }
  void On(const set_neighbours& effect) { control.Execute(effect); }
  void On(const call_store& effect);
  void On(answer_admin& effect) { admin.Execute(effect); }
  void On(const wake_at& effect);
  void On(const increment_counter& effect) {
    metrics.Count(effect.which, effect.amount);
  }
  void On(const decode_routes& effect);
  void On(const apply_caller_limits& effect);
  void On(const probe_endpoint& effect) { works.ProbeEndpoint(effect.path); }
  void On(const acknowledge_report& effect);
  void On(const refuse_report& effect);
  void On(const request_view& effect) { views.Execute(effect); }
  void On(const send_view& effect) { views.Execute(effect); }
  void On(const defer_call& effect) { calls.Execute(effect); }
  void On(const reserve_answer& effect) { calls.Execute(effect); }
  void On(const report_quota_usage& effect) { quotas.Execute(effect); }
  void On(const send_quota_grants& effect) { quotas.Execute(effect); }
  void On(const query_attempts& effect) { queries.Execute(effect); }
  void On(const send_attempt_reports& effect) { queries.Execute(effect); }
  void On(const log_message& effect);
  void On(const log_decision& effect) { decisions.Write(effect.record); }
  void On(const stop_process& effect);

  void OnCallPort(const std::shared_ptr<server_exchange>& exchange,
                  http_request request);
  void OnEndpointReport(const std::shared_ptr<server_exchange>& exchange,
                        const http_request& request);
  void LogUnreadReport(const http_request& request, const request_error& error);
  session_handlers MakeSessionHandlers(
      std::function<void(const std::shared_ptr<server_exchange>&, http_request)>
          on_request);
  void OnUnhandled(server_exchange& exchange,
                   const std::string& id,
                   const std::exception& error);
  leaf::result<void> ListenAt(http_listener& listener,
                              const std::string& key,
                              std::uint16_t port);
  std::string MetricsText() {
    return metrics.ToPrometheusText(calls.open_count(), works.open_count());
  }
  void Sweep();
  void FinishWhenIdle();
  void Finish();
  void OnLoopDelayMeasured(event_loop_monitor::clock::duration delay);

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
  quota_handler quotas;
  attempt_query_handler queries;
  admin_port_handler admin;
  control_channel control;
  http_listener call_listener;
  http_listener peer_listener;
  http_listener admin_listener;
  http_listener ready_listener;
  http_listener report_listener;
  event_loop_monitor loop_monitor;
  lazy_timer wake_timer;
  asio::steady_timer sweep_timer;
  asio::steady_timer stop_timer;
  asio::steady_timer idle_timer;
  store_caller store;
  route_decoder decode_route_config;
  std::function<void()> on_stopped;
  std::chrono::steady_clock::time_point last_request;
  /// Reports of the endpoint that are not acknowledged yet.
  std::unordered_map<report_id, exchange_ptr> reports;
  std::uint64_t next_report = 1;
  /// The last report that could not be read, and why.
  std::string unread_report;
  std::uint64_t aborted_requests = 0;
  std::function<void(const effect&)> before_effect;
  bool is_stopping = false;
  bool is_reducer_stopped = false;
  bool is_finished = false;
};

node_runtime::impl::impl(asio::io_context& context,
                         const node_settings& initial_settings,
                         any_wire_dialect selected_dialect,
                         const node_options& selected_options)
    : io(context),
      settings(initial_settings),
      dialect(std::move(selected_dialect)),
      options(selected_options),
      self{initial_settings.node,
           NewIncarnation(),
           {initial_settings.host, initial_settings.peer_port,
            initial_settings.control_port},
           initial_settings.domain},
      metrics(initial_settings.label_limit),
      loop(
          options,
          [this](effect& next_effect) { Execute(next_effect); },
          [this](const event_content& content) { OnEventCompleted(content); }),
      sink(
          [this](event_content content) { loop.Dispatch(std::move(content)); }),
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
      quotas(
          io,
          self.node,
          [this] { return connection_id(next_connection++); },
          sink),
      queries(
          io,
          self,
          [this] { return connection_id(next_connection++); },
          sink,
          [this](attempt_id attempt) { return calls.IsInTransfer(attempt); }),
      admin(sink, [this] { return MetricsText(); }),
      control(
          io,
          [this](peer_message message) {
            sink(message_received{std::move(message)});
          },
          metrics),
      call_listener(io,
                    MakeSessionHandlers([this](const exchange_ptr& exchange,
                                               http_request request) {
                      OnCallPort(exchange, std::move(request));
                    }),
                    metrics),
      peer_listener(io,
                    MakeSessionHandlers([this](const exchange_ptr& exchange,
                                               http_request request) {
                      if (view_handler::IsViewRequest(request)) {
                        return views.OnViewRequest(exchange);
                      }
                      if (quota_handler::IsQuotaReport(request)) {
                        return quotas.OnQuotaReport(exchange, request);
                      }
                      if (attempt_query_handler::IsQuery(request)) {
                        return queries.OnQuery(exchange, request,
                                               peer_listener.IsReceivingFrom(
                                                   exchange->peer_host()));
                      }
                      last_request = std::chrono::steady_clock::now();
                      works.OnWork(exchange, std::move(request));
                    }),
                    metrics),
      admin_listener(io,
                     MakeSessionHandlers([this](const exchange_ptr& exchange,
                                                const http_request& request) {
                       admin.OnRequest(exchange, request);
                     }),
                     metrics),
      ready_listener(io,
                     MakeSessionHandlers([this](const exchange_ptr& exchange,
                                                const http_request&) {
                       admin.HandleReadinessRequest(exchange);
                     }),
                     metrics),
      report_listener(io,
                      MakeSessionHandlers([this](const exchange_ptr& exchange,
                                                 const http_request& request) {
                        OnEndpointReport(exchange, request);
                      }),
                      metrics),
      loop_monitor(io,
                   [this](event_loop_monitor::clock::duration delay) {
                     OnLoopDelayMeasured(delay);
                   }),
      wake_timer(io, [this] { sink(time_passed{}); }),
      sweep_timer(io),
      stop_timer(io),
      idle_timer(io) {}

session_handlers node_runtime::impl::MakeSessionHandlers(
    std::function<void(const std::shared_ptr<server_exchange>&, http_request)>
        on_request) {
  session_handlers handlers;
  handlers.on_request = [this, handle = std::move(on_request)](
                            const std::shared_ptr<server_exchange>& exchange,
                            http_request request) {
    const std::string id =
        ToPrintable(request[dialect.echoed_header()], kMaxLoggedIdBytes);
    try {
      handle(exchange, std::move(request));
    } catch (const std::exception& error) {
      OnUnhandled(*exchange, id, error);
    }
  };
  handlers.on_rejected = [this](
                             const std::shared_ptr<server_exchange>& exchange,
                             error_kind kind) {
    metrics.CountError(kind);
    const bool may_retry =
        TraitsOf(kind).advice == retry_advice::kAfterPressureDelay;
    exchange->RespondAndClose(dialect.MakeError(
        {.kind = kind,
         .execution = execution_state::kNotExecuted,
         .retry_after = may_retry ? kMemoryRetryDelay : duration::zero()}));
  };
  handlers.on_undelivered = [this](const request_id& request) {
    metrics.Count(runtime_counter::kAnswersUndelivered);
    decisions.Write({.kind = decision_kind::kAnswerUndelivered,
                     .request = request,
                     .is_stopping = is_stopping});
  };
  return handlers;
}

// The reducer is told of a request last, so it does not know of this one.
void node_runtime::impl::OnUnhandled(server_exchange& exchange,
                                     const std::string& id,
                                     const std::exception& error) {
  metrics.Count(runtime_counter::kEffectsFailed);
  metrics.CountError(error_kind::kInternal);
  LOG4CPLUS_ERROR(Log(), "request " << id << " failed: " << error.what());
  exchange.Abandon();
  if (exchange.has_response()) {
    return exchange.EndConnection();
  }
  exchange.RespondAndClose(
      dialect.MakeError({.kind = error_kind::kInternal,
                         .execution = execution_state::kNotExecuted}));
}

leaf::result<void> node_runtime::impl::Start() {
  SetInitialLimits();
  call_listener.LimitSessions(DescriptorLimit() / kCallerDescriptorDivisor);
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
  BOOST_LEAF_CHECK(ListenForControlMessages());
  self.address.peer_port = peer_listener.port();
  if (settings.endpoint_port != 0) {
    works.SetEndpointAddress({asio::ip::make_address(settings.endpoint_host),
                              settings.endpoint_port});
  }
  LOG4CPLUS_INFO(Log(), "started on " << settings.host << ", call port "
                                      << call_listener.port());
  sink(node_started{self.node, self.run, self.address, self.domain,
                    settings.seeds, settings.service});
  Sweep();
  loop_monitor.Start();
  return {};
}

// A node that knows no configuration yet cannot tell what callers may send, and
// answers that it is not ready. The limits between nodes do not change: the
// sender has enforced those of the callers, perhaps from a newer configuration.
void node_runtime::impl::SetInitialLimits() {
  session_limits limits;
  limits.header_bytes = kLargestHeaderBytes + kMaxAddedHeaderBytes;
  limits.body_bytes = kMaxRequestMemoryBytes;
  peer_listener.set_limits(limits);
  session_limits call_limits;
  call_limits.max_pipelined = kMaxPipelinedCalls;
  if (options.settings == settings_source::kRoutes) {
    call_limits.header_bytes = kLargestHeaderBytes;
    call_limits.body_bytes = kMaxRequestMemoryBytes;
  }
  call_listener.set_limits(call_limits);
}

// Nodes that discover each other through the registry exchange no control
// messages: all that they need travels with requests.
leaf::result<void> node_runtime::impl::ListenForControlMessages() {
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

leaf::result<void> node_runtime::impl::ListenAt(http_listener& listener,
                                                const std::string& key,
                                                std::uint16_t port) {
  const error_code error = listener.Listen(settings.host, port);
  if (error) {
    return leaf::new_error(listen_error{key, port, error.message()});
  }
  return {};
}

void node_runtime::impl::Stop() {
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

// An exception ends what the effect is about, and nothing else: the effects
// after it and all later events concern other requests.
void node_runtime::impl::Execute(effect& next_effect) {
  try {
    if (before_effect) {
      before_effect(next_effect);
    }
    std::visit([this](auto& content) { On(content); }, next_effect);
  } catch (const std::exception& error) {
    metrics.Count(runtime_counter::kEffectsFailed);
    const request_id request =
        std::visit([this](const auto& content) { return RequestOf(content); },
                   next_effect);
    LOG4CPLUS_ERROR(
        Log(), "request " << request.value() << " failed: " << error.what());
    std::visit([this](const auto& content) { OnFailed(content); }, next_effect);
    if (auto ending = EventInPlaceOf(next_effect)) {
      sink(*std::move(ending));
    }
  }
}

void node_runtime::impl::RefuseOrClose(call_id call,
                                       execution_state execution) {
  try {
    calls.Execute(refuse_call{call, error_kind::kInternal, execution});
  } catch (const std::exception&) {
    calls.Fail(call);
  }
}

// The endpoint reports again.
void node_runtime::impl::CloseReport(report_id report) {
  const auto reported = reports.extract(report);
  if (reported) {
    reported.mapped()->EndConnection();
  }
}

void node_runtime::impl::OnEventCompleted(const event_content& content) {
  if (const auto* attempt = std::get_if<attempt_finished>(&content)) {
    return calls.DiscardAttempt(attempt->attempt);
  }
  if (const auto* work = std::get_if<work_finished>(&content)) {
    works.OnFinishHandled(work->work);
  }
}

void node_runtime::impl::On(const close_connection& effect) {
  if (!works.Close(effect.connection)) {
    calls.Close(effect.connection);
  }
}

void node_runtime::impl::On(const call_store& effect) {
  if (!store) {
    return sink(
        store_answered{effect.call, {.status = store_status::kUnavailable}});
  }
  store(effect.request, [this, call = effect.call](store_result result) {
    sink(store_answered{call, std::move(result)});
  });
}

void node_runtime::impl::On(const wake_at& effect) {
  wake_timer.Schedule(lazy_timer::clock::time_point(
      std::chrono::duration_cast<lazy_timer::clock::duration>(
          effect.when.time_since_epoch())));
}

void node_runtime::impl::On(const decode_routes& effect) {
  auto config =
      decode_route_config ? decode_route_config(effect.value) : std::nullopt;
  if (config) {
    admin.OnRoutesAvailable();
    for (const unread_field& unread : config->unread) {
      metrics.CountUnreadField(unread.field);
    }
  }
  sink(routes_decoded{std::move(config), effect.value, effect.reading});
}

void node_runtime::impl::On(const apply_caller_limits& effect) {
  session_limits limits;
  limits.max_pipelined = kMaxPipelinedCalls;
  limits.header_bytes = std::clamp<std::size_t>(
      effect.limits.header_bytes, kMaxHeaderBytes, kLargestHeaderBytes);
  limits.body_bytes =
      std::min<std::uint64_t>(effect.limits.body_bytes, kMaxRequestMemoryBytes);
  limits.idle_timeout = effect.limits.idle_timeout;
  call_listener.set_limits(limits);
}

void node_runtime::impl::On(const log_message& effect) {
  LOG4CPLUS_INFO(Log(), effect.text);
}

void node_runtime::impl::On(const stop_process& effect) {
  aborted_requests += effect.aborted_requests;
  is_reducer_stopped = true;
  FinishWhenIdle();
}

// A node that has not yet learned of the stop may still send a request on a
// keep-alive connection. Staying open for `stop_linger` after the last request
// lets this node refuse it as not executed, where a closed connection would
// leave that unknown.
void node_runtime::impl::FinishWhenIdle() {
  const auto idle_at = last_request + settings.stop_linger;
  const bool is_idle = std::chrono::steady_clock::now() >= idle_at &&
                       calls.open_count() == 0 && works.open_count() == 0;
  if (is_idle) {
    // Connections whose peers have read everything close at once.
    call_listener.EndUnread();
    peer_listener.EndUnread();
  }
  const bool is_responding = call_listener.IsResponding() ||
                             peer_listener.IsResponding() ||
                             report_listener.IsResponding();
  if (is_idle && !is_responding) {
    return Finish();
  }
  idle_timer.expires_at(
      std::max(idle_at, std::chrono::steady_clock::now() + kIdleCheckInterval));
  idle_timer.async_wait([this](error_code error) {
    if (!error) {
      FinishWhenIdle();
    }
  });
}

void node_runtime::impl::Finish() {
  if (is_finished) {
    return;
  }
  is_finished = true;
  aborted_requests += calls.open_count() + works.open_count();
  LOG4CPLUS_INFO(Log(), "stopped, " << aborted_requests << " requests aborted");
  call_listener.Close();
  peer_listener.Close();
  admin_listener.Close();
  ready_listener.Close();
  report_listener.Close();
  loop_monitor.Stop();
  sweep_timer.cancel();
  stop_timer.cancel();
  idle_timer.cancel();
  if (on_stopped) {
    on_stopped();
  }
}

void node_runtime::impl::OnLoopDelayMeasured(
    event_loop_monitor::clock::duration delay) {
  metrics.ObserveLoopDelay(delay);
  sink(loop_delay_measured{std::chrono::duration_cast<duration>(delay)});
}

void node_runtime::impl::Sweep() {
  call_listener.Sweep();
  peer_listener.Sweep();
  admin_listener.Sweep();
  ready_listener.Sweep();
  report_listener.Sweep();
  calls.Sweep();
  works.Sweep();
  quotas.Sweep();
  queries.Sweep();
  control.Sweep();
  sweep_timer.expires_after(kSweepInterval);
  sweep_timer.async_wait([this](error_code error) {
    if (!error) {
      Sweep();
    }
  });
}

void node_runtime::impl::OnCallPort(
    const std::shared_ptr<server_exchange>& exchange,
    http_request request) {
  if (dialect.IsReport(request)) {
    return OnEndpointReport(exchange, request);
  }
  last_request = std::chrono::steady_clock::now();
  if (request.target() == kIdempotencyKeysTarget &&
      request.method() == http::verb::post) {
    return calls.OnKeyRequested(exchange, std::move(request));
  }
  calls.OnCall(exchange, std::move(request));
}

void node_runtime::impl::OnEndpointReport(
    const std::shared_ptr<server_exchange>& exchange,
    const http_request& request) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(report, dialect.ReadReport(request));
        if (report.port != 0) {
          const auto host = asio::ip::make_address(settings.endpoint_host);
          works.SetEndpointAddress(tcp::endpoint(host, report.port));
        }
        unread_report.clear();
        const report_id id(next_report++);
        reports.emplace(id, exchange);
        report.content.report = id;
        sink(std::move(report.content));
        return {};
      },
      [&](const request_error& error) {
        metrics.CountError(error.kind);
        LogUnreadReport(request, error);
        exchange->Respond(
            dialect.MakeError({.kind = error.kind, .reason = error.reason}));
      },
      [](const std::exception&) { throw; }, [&] { exchange->EndConnection(); });
}

void node_runtime::impl::On(const acknowledge_report& effect) {
  const auto reported = reports.extract(effect.report);
  if (reported) {
    reported.mapped()->Respond(
        MakeTextResponse(http::status::ok, "text/plain", "ok\n"));
  }
}

void node_runtime::impl::On(const refuse_report& effect) {
  const auto reported = reports.extract(effect.report);
  if (reported) {
    reported.mapped()->Respond(dialect.MakeError({.kind = effect.kind}));
  }
}

// Another writer may send the same report every second.
void node_runtime::impl::LogUnreadReport(const http_request& request,
                                         const request_error& error) {
  constexpr std::size_t kMaxPathBytes = 200;
  std::string path = ToPrintable(request.target(), kMaxPathBytes);
  std::string description = path + ' ' + std::string(error.reason);
  if (description == unread_report) {
    return;
  }
  unread_report = std::move(description);
  decisions.Write({.kind = decision_kind::kEndpointReportIgnored,
                   .entry = ignored_entry{std::move(path), error.reason}});
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
    : impl_(std::make_unique<impl>(io, settings, std::move(dialect), options)) {
}
node_runtime::~node_runtime() = default;

void node_runtime::SetStoreCaller(store_caller caller) {
  impl_->store = std::move(caller);
}

void node_runtime::SetRouteDecoder(route_decoder decoder) {
  impl_->decode_route_config = std::move(decoder);
  impl_->admin.RequireRoutes();
}

void node_runtime::SetAdminHandler(admin_handler handler) {
  impl_->admin.SetHandler(std::move(handler));
}

void node_runtime::SetStoppedHandler(std::function<void()> on_stopped) {
  impl_->on_stopped = std::move(on_stopped);
}

leaf::result<void> node_runtime::Start() {
  return impl_->Start();
}

void node_runtime::Stop() {
  impl_->Stop();
}

void node_runtime::SetEffectProbe(
    std::function<void(const effect&)> before_effect) {
  impl_->before_effect = std::move(before_effect);
}

void node_runtime::SetStopLinger(std::chrono::milliseconds linger) {
  impl_->settings.stop_linger = linger;
}

void node_runtime::RequestAdmin(admin_request request,
                                admin_result_handler on_result) {
  impl_->admin.SubmitRequest(std::move(request), std::move(on_result));
}

std::uint64_t node_runtime::aborted_requests() const {
  return impl_->aborted_requests;
}

std::string node_runtime::MetricsText() const {
  return impl_->MetricsText();
}

incarnation node_runtime::run() const {
  return impl_->self.run;
}

std::uint16_t node_runtime::call_port() const {
  return impl_->call_listener.port();
}

std::uint16_t node_runtime::peer_port() const {
  return impl_->peer_listener.port();
}

std::uint16_t node_runtime::control_port() const {
  return impl_->control.port();
}

std::uint16_t node_runtime::admin_port() const {
  return impl_->admin_listener.port();
}

}  // namespace auburnfold
