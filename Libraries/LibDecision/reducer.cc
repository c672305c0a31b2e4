#include "LibDecision/reducer.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <variant>

#include "LibDecision/Calls/outgoing_calls.h"
#include "LibDecision/Membership/membership.h"
#include "LibDecision/Pressure/pressure_memory.h"
#include "LibDecision/Registry/registry.h"
#include "LibDecision/Retries/retry_allowance.h"
#include "LibDecision/Routes/route_feed.h"
#include "LibDecision/Routes/route_table.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/Timers/timer_service.h"
#include "LibDecision/Works/incoming_works.h"
#include "LibDecision/step.h"

namespace auburnfold {

namespace {

/// Minimum time between two requests for another node's view.
constexpr duration kMinViewRequestInterval = std::chrono::milliseconds(300);

// Keys of the timers of a stop.
constexpr std::uint64_t kStopLimitTimerKey = 0;
constexpr std::uint64_t kStopGraceTimerKey = 1;

}  // namespace

struct node_state::impl {
  explicit impl(const node_options& initial_options)
      : options(initial_options) {}

  node_options options;
  timer_service timers;
  table rows;
  route_table routes;
  route_feed feed{options.route_key};
  membership members{rows, options.discovery};
  registry nodes{members};
  retry_allowance allowance;
  pressure_memory pressure;
  outgoing_calls calls{rows, routes, members, allowance, pressure, options};
  incoming_works works{rows, allowance, pressure, options};
  /// Service of the local endpoint according to the settings; may be empty.
  service_name own_service;
  bool is_stopped = false;
  bool is_store_unavailable = false;
  std::optional<instant> view_requested_at;
  std::optional<instant> next_wakeup;

  void On(step& now, const node_started& self) {
    now.Log(
        {.kind = decision_kind::kStarted, .node = self.node, .run = self.run});
    members.Start(now, self);
    switch (options.discovery) {
      case discovery_choice::kGossip:
        break;
      case discovery_choice::kRegistry:
        nodes.Start(now);
        break;
    }
    switch (options.settings) {
      case settings_choice::kTable:
        rows.Start(now);
        break;
      case settings_choice::kRoutes:
        feed.Start(now);
        break;
    }
    works.Start(self);
    own_service = self.service;
  }

  void On(step& now, const stop_requested&) {
    now.Log({.kind = decision_kind::kStopping});
    members.OnStopRequested(now);
    calls.OnStopRequested(now);
    works.OnStopRequested(now);
    now.timers().Subscribe({timer_owner::kStop, kStopLimitTimerKey},
                           now.now() + options.stop_limit);
    now.timers().Subscribe({timer_owner::kStop, kStopGraceTimerKey},
                           now.now() + options.stop_grace);
  }

  void On(step&, const time_passed&) {}

  void On(step& now, const call_arrived& arrived) {
    if (!arrived.parent && arrived.may_have_parent) {
      const auto work = works.FindParentOf(arrived.facts.own_id);
      if (work) {
        call_arrived child = arrived;
        child.may_have_parent = false;
        child.parent = work;
        const request_facts& parent_facts = *works.FactsOf(*work);
        child.facts.root = parent_facts.root;
        child.facts.depth = static_cast<std::uint16_t>(parent_facts.depth + 1);
        return On(now, child);
      }
    }
    const request_facts* parent_facts =
        arrived.parent ? works.FactsOf(*arrived.parent) : nullptr;
    if (parent_facts == nullptr) {
      call_arrived orphan = arrived;
      orphan.parent.reset();
      return calls.OnArrived(now, orphan, nullptr);
    }
    // Handling the call may end the parent work and its facts, so copy them.
    const calling_work parent{*parent_facts,
                              works.AnsweredCallsOf(*arrived.parent)};
    works.OnChildStarted(now, *arrived.parent);
    calls.OnArrived(now, arrived, &parent);
  }

  void On(step& now, const call_cancelled& cancelled) {
    calls.OnCancelled(now, cancelled.call);
  }

  void On(step& now, const attempt_sent& sent) { calls.OnSent(now, sent); }

  void On(step& now, const attempt_finished& finished) {
    calls.OnAttemptFinished(now, finished);
  }

  void On(step& now, const work_arrived& arrived) {
    if (options.discovery == discovery_choice::kRegistry) {
      RequestViewFromSender(now, arrived);
    }
    works.OnArrived(now, arrived);
  }

  void On(step& now, const work_cancelled& cancelled) {
    works.OnCancelled(now, cancelled.work);
  }

  void On(step& now, const work_sent& sent) { works.OnSent(now, sent.work); }

  void On(step& now, const work_finished& finished) {
    works.OnFinished(now, finished);
  }

  void On(step& now, const endpoint_reported& report) {
    switch (works.OnEndpointReported(now, report)) {
      case report_effect::kIgnored:
        return;
      case report_effect::kTaken:
      case report_effect::kChanged:
      case report_effect::kReplaced:
        // The result of a health probe contains too little for a record; the
        // endpoint's own report follows.
        if (report.run == incarnation() && report.sequence == 0 &&
            options.settings == settings_choice::kRoutes) {
          return;
        }
        return members.OnEndpointReported(now, *works.endpoint().report());
    }
  }

  void On(step&, const connection_closed& closed) {
    calls.OnConnectionClosed(closed.connection);
  }

  void On(step& now, const message_received& received) {
    const incarnation run = members.self().run;
    members.OnMessage(now, received.message);
    if (members.self().run != run) {
      works.Start({.node = members.self().node, .run = members.self().run});
    }
    if (const auto* update =
            std::get_if<row_update>(&received.message.content)) {
      for (const table_row& row : update->rows) {
        rows.Take(now, row);
      }
    }
  }

  void On(step& now, const store_answered& answer) {
    UpdateStoreAvailability(now, answer);
    members.OnStoreAnswered(now, answer);
    nodes.OnStoreAnswered(now, answer);
    feed.OnStoreAnswered(now, answer);
    rows.OnStoreAnswered(now, answer);
  }

  void On(step& now, const routes_decoded& decoded) {
    if (!decoded.config) {
      now.Count(counter::kRoutesRejected);
      return now.Log({.kind = decision_kind::kRoutesRejected});
    }
    if (!routes.Take(now.now(), *decoded.config)) {
      return;
    }
    now.Count(counter::kRoutesTaken);
    now.Log({.kind = decision_kind::kRoutesTaken,
             .routes = decoded.config->version});
    for (const route& configured_route : decoded.config->routes) {
      ApplyRouteSettings(now, decoded.config->version, configured_route);
    }
    ProbeEndpoint(now);
  }

  // A node that restarts while its endpoint keeps running would otherwise
  // refuse all work until the endpoint's next report.
  void ProbeEndpoint(step& now) {
    const std::string path = routes.HealthPathOf(own_service);
    if (works.endpoint().report() || path.empty()) {
      return;
    }
    now.Emit(ask_endpoint{path});
  }

  // The settings of a service and request class come from the route that has
  // the name of the class.
  void ApplyRouteSettings(step& now,
                          route_version version,
                          const route& source) {
    table_row row{.request_class = source.name,
                  .version = row_version(version.value())};
    row.settings.priority = source.priority;
    row.settings.is_idempotent = source.is_idempotent;
    row.settings.longest_deadline = source.longest_wait;
    row.settings.retry_allowance =
        static_cast<std::uint16_t>(std::max<int>(source.most_attempts, 1) - 1);
    for (const weighted_service& target : source.services) {
      row.service = target.service;
      rows.Take(now, row);
    }
  }

  void On(step& now, const view_asked& asked) {
    peer_view view{.routes = feed.value()};
    for (const auto& [node, record] : members.list().members()) {
      view.members.push_back(record);
    }
    now.Emit(give_view{asked.call, std::move(view)});
  }

  void On(step& now, const view_received& received) {
    feed.OnToldBy(now, received.view.routes);
    nodes.OnToldBy(now, received.view.members);
  }

  // A node that starts while the key-value store is unavailable knows no other
  // node. The others still know it, and the sender of work can provide its
  // view.
  void RequestViewFromSender(step& now, const work_arrived& arrived) {
    const bool has_view = routes.version() && nodes.is_listed();
    const bool is_recently_requested =
        view_requested_at &&
        now.now() - *view_requested_at < kMinViewRequestInterval;
    if (has_view || is_recently_requested ||
        arrived.from_address.host.empty()) {
      return;
    }
    view_requested_at = now.now();
    now.Emit(ask_view{arrived.from_address});
  }

  void UpdateStoreAvailability(step& now, const store_answered& answer) {
    const bool is_unavailable =
        answer.result.status == store_status::kUnavailable ||
        answer.result.status == store_status::kUnknown;
    if (is_unavailable == is_store_unavailable) {
      return;
    }
    is_store_unavailable = is_unavailable;
    now.Log({.kind = is_unavailable ? decision_kind::kStoreLost
                                    : decision_kind::kStoreRegained});
  }

  void On(step& now, const admin_requested& request) {
    if (const auto* draining = std::get_if<set_draining>(&request.request)) {
      members.SetDraining(now, draining->is_draining);
      now.Emit(answer_admin{request.call, {}});
      return;
    }
    const bool is_read_request =
        std::holds_alternative<read_table>(request.request) ||
        std::holds_alternative<read_members>(request.request);
    if (is_read_request) {
      admin_result result{.rows = rows.rows().All()};
      members.Describe(now, result);
      now.Emit(answer_admin{request.call, std::move(result)});
      return;
    }
    rows.OnAdminRequested(now, request);
  }

  void OnTimer(step& now, timer_subscription due) {
    switch (due.owner) {
      case timer_owner::kCalls:
        return calls.OnTimer(now, due.key);
      case timer_owner::kWorks:
      case timer_owner::kAdmission:
      case timer_owner::kOnce:
        return works.OnTimer(now, due);
      case timer_owner::kMembership:
        return members.OnTimer(now, due.key);
      case timer_owner::kTable:
        return rows.OnTimer(now, due.key);
      case timer_owner::kEndpoint:
        return OnEndpointTimer(now);
      case timer_owner::kStop:
        return OnStopTimer(now, due.key);
      case timer_owner::kConnections:
        return calls.OnConnectionTimer(now);
      case timer_owner::kRouting:
        return;
      case timer_owner::kRegistration:
      case timer_owner::kRegistryWatch:
        return nodes.OnTimer(now, due.owner);
      case timer_owner::kRegistryLapse:
        return nodes.DropLapsed(
            now, [this](node_id node) { return calls.AnsweredAt(node); });
      case timer_owner::kRouteWatch:
        return feed.OnTimer(now);
    }
  }

  void ResumeParents(step& now) {
    for (const ended_child& child : calls.TakeEndedChildren()) {
      works.OnChildFinished(now, child);
    }
  }

  // A silent endpoint is announced as leaving, since it may still answer the
  // requests that it runs.
  void OnEndpointTimer(step& now) {
    if (works.OnEndpointTimer(now)) {
      endpoint_reported silent = *works.endpoint().report();
      silent.state = endpoint_state::kLeaving;
      members.OnEndpointReported(now, silent);
    }
  }

  // The end of the grace period only wakes up the node, which then stops if it
  // is idle.
  void OnStopTimer(step& now, std::uint64_t key) {
    if (key == kStopLimitTimerKey) {
      AbortRequests(now);
    }
  }

  void AbortRequests(step& now) {
    const std::size_t aborted_requests =
        calls.open_count() + works.open_count();
    calls.CutAll(now);
    works.CutAll(now);
    Stop(now, aborted_requests);
  }

  void CancelChildCallsOfEndedWork(step& now) {
    for (const work_id ended : works.TakeEnded()) {
      calls.CancelChildrenOf(now, ended);
    }
  }

  void Stop(step& now, std::size_t aborted_requests) {
    if (!is_stopped) {
      is_stopped = true;
      members.OnStopped(now);
      if (options.discovery == discovery_choice::kRegistry) {
        nodes.OnStopped(now);
      }
      now.Log({.kind = decision_kind::kStopped});
      now.Emit(stop_process{aborted_requests});
    }
  }

  void StopIfIdle(step& now) {
    if (works.is_stop_grace_over(now.now()) && calls.open_count() == 0 &&
        works.open_count() == 0) {
      Stop(now, 0);
    }
  }

  void ScheduleWakeup(step& now) {
    const std::optional<instant> next = timers.next();
    if (next && next != next_wakeup) {
      next_wakeup = next;
      now.Emit(wake_at{*next});
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
  step now(input.now, input.entropy, impl.timers);
  while (const auto due = impl.timers.TakeDue(input.now)) {
    impl.OnTimer(now, *due);
  }
  std::visit([&](const auto& content) { impl.On(now, content); },
             input.content);
  impl.CancelChildCallsOfEndedWork(now);
  impl.ResumeParents(now);
  impl.members.SpreadChanges(now);
  if (impl.options.discovery == discovery_choice::kRegistry) {
    impl.nodes.PublishChanges(now);
  }
  impl.StopIfIdle(now);
  impl.ScheduleWakeup(now);
  return now.TakeEffects();
}

}  // namespace auburnfold
