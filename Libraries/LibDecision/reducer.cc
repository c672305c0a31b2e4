#include "LibDecision/reducer.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <variant>

#include "LibDecision/Calls/outgoing_calls.h"
#include "LibDecision/Calls/pipelined_calls.h"
#include "LibDecision/Membership/membership.h"
#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/Quarantine/quarantine.h"
#include "LibDecision/Quotas/tenant_quotas.h"
#include "LibDecision/Registry/node_registry.h"
#include "LibDecision/Retries/retry_allowances.h"
#include "LibDecision/Routes/route_table.h"
#include "LibDecision/Routes/route_watcher.h"
#include "LibDecision/Table/policy_table.h"
#include "LibDecision/Tenants/caller_authenticator.h"
#include "LibDecision/Tenants/key_directory.h"
#include "LibDecision/Tenants/key_validity.h"
#include "LibDecision/Timers/timer_service.h"
#include "LibDecision/Work/incoming_work.h"
#include "LibDecision/Work/report_acknowledgements.h"
#include "LibDecision/event_context.h"

namespace auburnfold {

namespace {

/// Minimum time between two requests for another node's view.
constexpr duration kMinViewRequestInterval = std::chrono::milliseconds(300);

/// A delay of the event loop that is a large part of the shortest deadlines.
constexpr duration kNotableLoopDelay = std::chrono::milliseconds(100);

// Keys of the timers of a stop.
constexpr std::uint64_t kStopLimitTimerKey = 0;
constexpr std::uint64_t kStopGraceTimerKey = 1;

}  // namespace

struct node_state::impl {
  explicit impl(const node_options& initial_options)
      : options(initial_options) {}

  node_options options;
  timer_service timers;
  policy_table policies;
  route_table routes;
  route_watcher routes_watcher{options.route_key};
  membership members{policies, options.discovery};
  quarantine request_quarantine{options};
  node_registry registry{members, request_quarantine};
  retry_allowances allowances;
  pressure_tracker pressure;
  key_directory keys;
  key_validity keys_validity{options.api_key_validity, options.route_key};
  caller_authenticator authenticator{keys, keys_validity};
  tenant_quotas quotas{members.list()};
  outgoing_calls calls{
      policies, routes,   members,       allowances, request_quarantine,
      quotas,   pressure, authenticator, options};
  pipelined_calls pipelined{policies, routes, calls};
  incoming_work work{policies, routes,        allowances, request_quarantine,
                     pressure, keys_validity, options};
  /// Service of the local endpoint as configured at the node; may be empty.
  service_name local_service;
  report_acknowledgements acknowledgements;
  bool is_earlier_run_known = false;
  bool is_stopped = false;
  bool is_watching_routes = false;
  bool is_store_unavailable = false;
  store_era latest_store_era;
  std::optional<instant> view_requested_at;
  std::optional<instant> next_wakeup;

  void On(event_context& context, const node_started& self) {
    context.Log(
        {.kind = decision_kind::kStarted, .node = self.node, .run = self.run});
    members.Start(context, self);
    switch (options.discovery) {
      case discovery_mode::kGossip:
        break;
      case discovery_mode::kRegistry:
        registry.Start(context);
        break;
    }
    switch (options.settings) {
      case settings_source::kTable:
        policies.Start(context);
        break;
      case settings_source::kRoutes:
        WatchRoutes(context);
        break;
    }
    request_quarantine.Start(self);
    quotas.Start(context, self.node);
    work.Start(context, self);
    local_service = self.service;
  }

  // A node that routes requests before it knows the crashes that they cause
  // would let each of them crash one more endpoint. The listing of the registry
  // contains the crashes, so it comes first.
  void WatchRoutes(event_context& context) {
    const bool knows_crashes =
        options.discovery != discovery_mode::kRegistry || registry.is_listed();
    if (knows_crashes && !is_watching_routes) {
      is_watching_routes = true;
      routes_watcher.Start(context);
    }
  }

  void On(event_context& context, const stop_requested&) {
    context.Log({.kind = decision_kind::kStopping});
    members.OnStopRequested(context);
    calls.OnStopRequested(context);
    work.OnStopRequested(context);
    acknowledgements.OnStopRequested();
    context.timers().Schedule({timer_owner::kStop, kStopLimitTimerKey},
                              context.now() + options.stop_limit);
    context.timers().Schedule({timer_owner::kStop, kStopGraceTimerKey},
                              context.now() + options.stop_grace);
  }

  void On(event_context&, const time_passed&) {}

  void On(event_context& context, const loop_delay_measured& measured) {
    if (measured.delay >= kNotableLoopDelay) {
      context.Log(
          {.kind = decision_kind::kLoopDelayed, .waited = measured.delay});
    }
  }

  void On(event_context& context, const call_arrived& arrived) {
    if (pipelined.Defer(context, arrived)) {
      return;
    }
    ProveRoutes(context);
    if (!arrived.parent && arrived.may_have_parent) {
      const auto parent_id = work.FindParentOf(arrived.metadata.own_id);
      if (parent_id) {
        call_arrived child = arrived;
        child.may_have_parent = false;
        child.parent = parent_id;
        const request_metadata& parent_metadata = *work.MetadataOf(*parent_id);
        child.metadata.root = parent_metadata.root;
        child.metadata.depth =
            static_cast<std::uint16_t>(parent_metadata.depth + 1);
        return On(context, child);
      }
    }
    const request_metadata* parent_metadata =
        arrived.parent ? work.MetadataOf(*arrived.parent) : nullptr;
    if (parent_metadata == nullptr) {
      call_arrived orphan = arrived;
      orphan.parent.reset();
      return calls.OnArrived(context, orphan, nullptr);
    }
    // Handling the call may end the parent work and its metadata, so copy it.
    const parent_work parent{*parent_metadata,
                             work.AnsweredChildCallCountOf(*arrived.parent)};
    work.OnChildCallStarted(context, *arrived.parent);
    calls.OnArrived(context, arrived, &parent);
  }

  void On(event_context& context, const call_cancelled& cancelled) {
    calls.OnCancelled(context, cancelled.call);
  }

  // Nobody waits for an answer, so the request is neither admitted nor counted
  // as demand.
  void On(event_context& context, const request_abandoned& abandoned) {
    context.Count(counter::kRequestsAbandoned);
    context.Log({.kind = decision_kind::kRequestAbandoned,
                 .request = abandoned.metadata.own_id,
                 .root = abandoned.metadata.root,
                 .service = abandoned.metadata.service,
                 .request_class = abandoned.metadata.request_class,
                 .error = error_kind::kCallerGone,
                 .execution = execution_state::kNotExecuted,
                 .time_left = abandoned.metadata.time_left});
  }

  void On(event_context& context, const attempt_sent& sent) {
    calls.OnSent(context, sent);
  }

  void On(event_context& context, const attempt_finished& finished) {
    const auto node = calls.NodeOf(finished.attempt);
    const member_record* peer = node ? members.Find(*node) : nullptr;
    if (peer != nullptr && finished.result.peer) {
      NotePeerRoutes(context, finished.result.peer->newer_routes,
                     peer->address);
      request_quarantine.OnPeerChecksum(
          context, finished.result.peer->crash_checksum, peer->address);
    }
    const auto sent_at = calls.SentAt(finished.attempt);
    if (sent_at && finished.result.peer &&
        finished.result.peer->routes_confirmed_age) {
      keys_validity.OnPeerConfirmed(
          context, *sent_at, *finished.result.peer->routes_confirmed_age);
      TellProvenRoutes();
    }
    calls.OnAttemptFinished(context, finished);
  }

  void On(event_context& context, const work_arrived& arrived) {
    if (options.discovery == discovery_mode::kRegistry) {
      RequestViewFromSender(context, arrived);
    }
    NotePeerRoutes(context, arrived.metadata.routes, arrived.from_address);
    request_quarantine.OnPeerChecksum(context, arrived.metadata.crash_checksum,
                                      arrived.from_address);
    work.OnArrived(context, arrived);
    PublishEndpointChange(context);
  }

  // An answer, or another node, may say that the local endpoint leaves.
  void PublishEndpointChange(event_context& context) {
    if (work.TakeEndpointChange()) {
      PublishEndpoint(context);
    }
  }

  void PublishEndpoint(event_context& context) {
    members.OnEndpointReported(context, *work.endpoint().report(),
                               work.endpoint().leave());
  }

  // An earlier run may have acknowledged that the endpoint leaves. The view of
  // another node shows it only if the leave was stored before.
  void NoteEarlierRun(event_context& context) {
    const member_record* earlier = registry.earlier_record();
    const bool is_known =
        registry.is_listed() || (earlier != nullptr && earlier->leave);
    if (!is_known || std::exchange(is_earlier_run_known, true)) {
      return;
    }
    const auto deferred = work.OnEarlierRunKnown(context, earlier);
    if (work.endpoint().report()) {
      PublishEndpoint(context);
    }
    if (deferred) {
      ApplyReport(context, *deferred);
    }
  }

  void On(event_context& context, const work_cancelled& cancelled) {
    work.OnCancelled(context, cancelled.work);
  }

  void On(event_context& context, const work_sent& sent) {
    work.OnSent(context, sent.work);
  }

  void On(event_context& context, const work_finished& finished) {
    work.OnFinished(context, finished);
    PublishEndpointChange(context);
  }

  void On(event_context& context, const endpoint_reported& report) {
    ApplyReport(context, report);
    if (report.report) {
      const bool is_stored_leave =
          options.discovery == discovery_mode::kRegistry &&
          work.endpoint().leave().has_value();
      acknowledgements.OnReported(context, *report.report, is_stored_leave);
    }
  }

  void ApplyReport(event_context& context, const endpoint_reported& report) {
    switch (work.OnEndpointReported(context, report)) {
      case report_result::kIgnored:
      case report_result::kDeferred:
        return;
      case report_result::kAccepted:
      case report_result::kChanged:
      case report_result::kReplaced:
        // The result of a health probe contains too little for a record; the
        // endpoint's own report follows.
        if (report.is_probe_result && report.state == endpoint_state::kReady) {
          return;
        }
        return PublishEndpoint(context);
    }
  }

  void On(event_context&, const connection_closed& closed) {
    calls.OnConnectionClosed(closed.connection);
  }

  void On(event_context& context, const message_received& received) {
    const incarnation run = members.self().run;
    members.OnMessage(context, received.message);
    if (members.self().run != run) {
      work.Start(context,
                 {.node = members.self().node, .run = members.self().run});
    }
    if (const auto* update =
            std::get_if<row_update>(&received.message.content)) {
      for (const table_row& row : update->rows) {
        policies.ApplyIfNewer(context, row);
      }
    }
  }

  void On(event_context& context, const store_answered& answer) {
    const store_era era = answer.result.era;
    const bool is_outdated = era != store_era() && era < latest_store_era;
    if (is_outdated) {
      // Its revisions and leases mean nothing to the store any more.
      return On(context, store_answered{answer.call,
                                        {.status = store_status::kUnknown}});
    }
    if (era != store_era()) {
      UpdateStoreEra(context, era);
    }
    UpdateStoreAvailability(context, answer);
    members.OnStoreAnswered(context, answer);
    registry.OnStoreAnswered(context, answer);
    NoteEarlierRun(context);
    if (registry.lists_earlier_run()) {
      quotas.OnFleetKnown();
    }
    if (options.settings == settings_source::kRoutes) {
      WatchRoutes(context);
    }
    request_quarantine.OnStoreAnswered(context, answer);
    routes_watcher.set_node_count(members.list().members().size());
    routes_watcher.OnStoreAnswered(context, answer);
    keys_validity.set_node_count(members.list().members().size());
    keys_validity.OnStoreAnswered(context, answer,
                                  routes_watcher.value_in_force());
    ProveRoutes(context);
    policies.OnStoreAnswered(context, answer);
  }

  void On(event_context& context, const routes_decoded& decoded) {
    if (!decoded.config) {
      context.Count(counter::kRoutesRejected);
      return LogRoutes(context, decision_kind::kRoutesRejected, decoded);
    }
    if (!routes.Apply(context.now(), *decoded.config)) {
      ConfirmRoutes(context, decoded);
      return LogRoutes(context, decision_kind::kRoutesIgnored, decoded);
    }
    routes_watcher.OnTaken(decoded.value);
    keys_validity.OnRoutesTaken(context, !decoded.config->tenants.empty());
    ConfirmRoutes(context, decoded);
    keys.Replace(decoded.config->tenants);
    context.Count(counter::kRoutesTaken);
    LogRoutes(context, decision_kind::kRoutesTaken, decoded);
    LogUnreadFields(context, *decoded.config);
    quotas.Apply(context, decoded.config->tenants);
    context.Emit(apply_caller_limits{decoded.config->limits});
    for (const route& configured_route : decoded.config->routes) {
      ApplyRouteSettings(context, decoded.config->version, configured_route);
    }
    ProveRoutes(context);
    ProbeEndpoint(context);
  }

  void ConfirmRoutes(event_context& context, const routes_decoded& decoded) {
    const bool is_in_force = decoded.config->version == routes.version();
    if (is_in_force && decoded.reading.requested_at) {
      keys_validity.OnConfirmed(context, *decoded.reading.requested_at);
    }
  }

  // Records come from the store, some by way of another node's view, so that
  // their eras are the store's.
  void ProveRoutes(event_context& context) {
    if (!keys_validity.needs_proof()) {
      return;
    }
    std::optional<route_version> newest;
    const auto add = [&](const member_record& record) {
      if (record.routes && record.routes->era == latest_store_era) {
        newest = std::max(newest, std::optional(record.routes->version));
      }
    };
    for (const auto& [node, record] : members.list().members()) {
      add(record);
    }
    if (const member_record* earlier = registry.earlier_record()) {
      add(*earlier);
    }
    keys_validity.Prove(context, newest, routes.version());
    TellProvenRoutes();
  }

  // Once in each era: what is stored later in the era is not lost with an older
  // copy, so that whoever lists the store finds it there.
  void TellProvenRoutes() {
    const auto& told = members.self().routes;
    const bool is_told = told && told->era == latest_store_era;
    if (keys_validity.has_proof() && !is_told) {
      members.SetProvenRoutes({latest_store_era, *routes.version()});
    }
  }

  static void LogRoutes(event_context& context,
                        decision_kind kind,
                        const routes_decoded& decoded) {
    decision_record record{.kind = kind};
    if (decoded.config) {
      record.routes = decoded.config->version;
    }
    record.source = decoded.reading.source;
    record.revision = decoded.reading.revision;
    record.era = decoded.reading.era;
    record.age = context.now() - decoded.reading.read_at;
    context.Log(std::move(record));
  }

  static void LogUnreadFields(event_context& context,
                              const route_config& config) {
    for (const unread_field& unread : config.unread) {
      context.Log({.kind = decision_kind::kConfigFieldUnread,
                   .request_class = class_name(unread.entry),
                   .routes = config.version,
                   .config = unread});
    }
  }

  // A node that restarts while its endpoint keeps running would otherwise
  // refuse all work until the endpoint's next report.
  void ProbeEndpoint(event_context& context) {
    const std::string path = routes.HealthPathOf(local_service);
    if (work.endpoint().report() || path.empty()) {
      return;
    }
    context.Emit(probe_endpoint{path});
  }

  // The settings of a service and request class come from the route that has
  // the name of the class.
  void ApplyRouteSettings(event_context& context,
                          route_version version,
                          const route& source) {
    table_row row{.request_class = source.name,
                  .version = row_version(version.value())};
    row.settings.priority = source.priority;
    row.settings.is_idempotent = source.is_idempotent;
    row.settings.longest_deadline = source.timeout;
    row.settings.retry_allowance =
        static_cast<std::uint16_t>(std::max<int>(source.max_attempts, 1) - 1);
    for (const weighted_service& target : source.services) {
      row.service = target.service;
      policies.ApplyIfNewer(context, row);
    }
  }

  void On(event_context& context, const view_requested& request) {
    peer_view view{.routes = routes_watcher.value_in_force(),
                   .crashes = request_quarantine.RecordsForView(context.now())};
    for (const auto& [node, record] : members.list().members()) {
      view.members.push_back(record);
    }
    context.Emit(send_view{request.call, std::move(view)});
  }

  void On(event_context& context, const quota_reported& reported) {
    quotas.OnReported(context, reported);
  }

  void On(event_context& context, const quota_granted& granted) {
    quotas.OnGranted(context, granted);
  }

  // Only the sender of an attempt learns of it and may have it refused.
  void On(event_context& context, const attempts_queried& query) {
    const member_record* sender = members.Find(query.from);
    const bool is_sender =
        sender != nullptr && sender->address.host == query.from_host;
    send_attempt_reports answer{.query = query.query};
    if (is_sender) {
      answer.reports = work.Explain(context.now(), query);
    }
    context.Emit(std::move(answer));
  }

  void On(event_context& context, const attempt_reports_received& received) {
    calls.OnAttemptReports(context, received);
  }

  void ResumeCallsWithQuota(event_context& context) {
    for (const quota_verdict& verdict : quotas.TakeVerdicts()) {
      calls.OnQuotaDecided(context, verdict);
    }
  }

  void On(event_context& context, const view_received& received) {
    if (options.settings == settings_source::kRoutes) {
      routes_watcher.OnPeerView(context, received.view.routes);
    }
    if (options.discovery == discovery_mode::kRegistry) {
      registry.OnPeerView(context, received.view.members);
      NoteEarlierRun(context);
    }
    request_quarantine.OnPeerView(context, received.view.crashes);
  }

  // A node that starts while the key-value store is unavailable knows no other
  // node. The others still know it, and the sender of work can provide its
  // view.
  void RequestViewFromSender(event_context& context,
                             const work_arrived& arrived) {
    const bool has_view = routes.version() && registry.is_listed();
    const bool is_recently_requested =
        view_requested_at &&
        context.now() - *view_requested_at < kMinViewRequestInterval;
    if (has_view || is_recently_requested ||
        arrived.from_address.host.empty()) {
      return;
    }
    view_requested_at = context.now();
    context.Emit(request_view{arrived.from_address});
  }

  // A node may hear nothing of a change although it reaches the key-value
  // store: its watch has gone silent, or the store came back from an older
  // copy.
  void NotePeerRoutes(event_context& context,
                      std::optional<route_version> version,
                      const node_address& peer) {
    if (version && routes.version() < version && !peer.host.empty()) {
      routes_watcher.OnPeerVersion(context, *version, peer);
    }
  }

  void UpdateStoreEra(event_context& context, store_era era) {
    const store_era previous = std::exchange(latest_store_era, era);
    if (previous == store_era() || previous == era) {
      return;
    }
    context.Log({.kind = decision_kind::kStoreEraChanged, .era = era});
    if (options.discovery == discovery_mode::kRegistry) {
      registry.OnStoreEraChanged(context);
    }
    if (options.settings == settings_source::kRoutes) {
      routes_watcher.OnStoreEraChanged(context);
      keys_validity.OnStoreEraChanged(context);
      TellProvenRoutes();
    }
  }

  void UpdateStoreAvailability(event_context& context,
                               const store_answered& answer) {
    const bool is_unavailable =
        answer.result.status == store_status::kUnavailable ||
        answer.result.status == store_status::kUnknown;
    if (is_unavailable == is_store_unavailable) {
      return;
    }
    is_store_unavailable = is_unavailable;
    if (!is_unavailable && options.discovery == discovery_mode::kRegistry) {
      registry.OnStoreRegained(context);
    }
    context.Log({.kind = is_unavailable ? decision_kind::kStoreLost
                                        : decision_kind::kStoreRegained});
  }

  void On(event_context& context, const admin_requested& request) {
    if (const auto* draining = std::get_if<set_draining>(&request.request)) {
      members.SetDraining(context, draining->is_draining);
      context.Emit(answer_admin{request.call, {}});
      return;
    }
    const bool is_read_request =
        std::holds_alternative<read_table>(request.request) ||
        std::holds_alternative<read_members>(request.request);
    if (is_read_request) {
      admin_result result{.rows = policies.rows().All()};
      members.FillAdminResult(context, result);
      context.Emit(answer_admin{request.call, std::move(result)});
      return;
    }
    policies.OnAdminRequested(context, request);
  }

  void OnTimer(event_context& context, timer_id due) {
    switch (due.owner) {
      case timer_owner::kCalls:
        return calls.OnTimer(context, due.key);
      case timer_owner::kWork:
      case timer_owner::kAdmission:
      case timer_owner::kIdempotencyKeys:
        return work.OnTimer(context, due);
      case timer_owner::kMembership:
        return members.OnTimer(context, due.key);
      case timer_owner::kTable:
        return policies.OnTimer(context, due.key);
      case timer_owner::kEndpoint:
        return OnEndpointTimer(context);
      case timer_owner::kReportAcknowledgement:
        return acknowledgements.OnTimer(context);
      case timer_owner::kStop:
        return OnStopTimer(context, due.key);
      case timer_owner::kConnections:
        return calls.OnConnectionTimer(context);
      case timer_owner::kRouting:
        return;
      case timer_owner::kRegistration:
      case timer_owner::kRegistryWatch:
        return registry.OnTimer(context, due.owner);
      case timer_owner::kRegistryLapse:
        return registry.RemoveLapsed(context, [this](node_id node) {
          return calls.LastAnsweredAt(node);
        });
      case timer_owner::kRouteWatch:
        return routes_watcher.OnTimer(context);
      case timer_owner::kCrashRecords:
      case timer_owner::kCrashViews:
      case timer_owner::kCrashExpiry:
        return request_quarantine.OnTimer(context, due.owner);
      case timer_owner::kQuotaReports:
      case timer_owner::kQuotaWaits:
      case timer_owner::kQuotaDiscard:
        return quotas.OnTimer(context, due);
      case timer_owner::kNewerRoutes:
        return routes_watcher.OnNewerRoutesTimer(context, routes.version());
      case timer_owner::kKeyValidity:
        ProveRoutes(context);
        return keys_validity.OnTimer(context,
                                     routes_watcher.is_store_unavailable());
    }
  }

  void ResumeParents(event_context& context) {
    for (const ended_child& child : calls.TakeEndedChildCalls()) {
      work.OnChildCallFinished(context, child);
    }
  }

  // A silent endpoint is announced as leaving, since it may still answer the
  // requests that it runs.
  void OnEndpointTimer(event_context& context) {
    if (work.OnEndpointTimer(context)) {
      endpoint_reported silent = *work.endpoint().report();
      silent.state = endpoint_state::kLeaving;
      members.OnEndpointReported(context, silent, work.endpoint().leave());
    }
  }

  void OnStopTimer(event_context& context, std::uint64_t key) {
    if (key == kStopLimitTimerKey) {
      return AbortRequests(context);
    }
    work.RefuseQueued(context);
  }

  void AbortRequests(event_context& context) {
    const std::size_t aborted_requests = calls.open_count() + work.open_count();
    calls.AbortAll(context);
    work.AbortAll(context);
    Stop(context, aborted_requests);
  }

  void CancelChildCallsOfEndedWork(event_context& context) {
    for (const work_id ended : work.TakeEnded()) {
      calls.CancelChildCallsOf(context, ended);
    }
  }

  void Stop(event_context& context, std::size_t aborted_requests) {
    if (!is_stopped) {
      is_stopped = true;
      members.OnStopped(context);
      if (options.discovery == discovery_mode::kRegistry) {
        registry.OnStopped(context);
      }
      context.Log({.kind = decision_kind::kStopped});
      context.Emit(stop_process{aborted_requests});
    }
  }

  void StopIfIdle(event_context& context) {
    if (work.is_stop_grace_over(context.now()) && calls.open_count() == 0 &&
        work.open_count() == 0) {
      Stop(context, 0);
    }
  }

  void ScheduleWakeup(event_context& context) {
    const std::optional<instant> next = timers.next_due();
    if (next && next != next_wakeup) {
      next_wakeup = next;
      context.Emit(wake_at{*next});
    }
  }
};

node_state::node_state(const node_options& options)
    : impl_(std::make_unique<impl>(options)) {}
node_state::~node_state() = default;
node_state::node_state(node_state&&) noexcept = default;
node_state& node_state::operator=(node_state&&) noexcept = default;

effects Reduce(node_state& state, const event& input) {
  node_state::impl& impl = *state.impl_;
  event_context context(input.now, input.entropy, impl.timers, input.suspended);
  while (const auto due = impl.timers.PopDue(input.now)) {
    impl.OnTimer(context, *due);
  }
  std::visit([&](const auto& content) { impl.On(context, content); },
             input.content);
  impl.ResumeCallsWithQuota(context);
  impl.CancelChildCallsOfEndedWork(context);
  impl.ResumeParents(context);
  impl.members.BroadcastChanges(context);
  if (impl.options.discovery == discovery_mode::kRegistry) {
    impl.registry.PublishChanges(context);
    if (impl.registry.is_record_stored()) {
      impl.acknowledgements.OnRecordStored(context);
    }
  }
  impl.StopIfIdle(context);
  impl.ScheduleWakeup(context);
  return context.TakeEffects();
}

}  // namespace auburnfold
