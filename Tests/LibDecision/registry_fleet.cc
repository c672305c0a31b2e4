#include "registry_fleet.h"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>
#include <variant>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

using namespace std::chrono_literals;

constexpr char kRouteKey[] = "routes";
constexpr char kHost[] = "shop.example";
constexpr std::size_t kFirstPort = 1000;
constexpr duration kHop = 1ms;
constexpr duration kStoreDelay = 4ms;
constexpr std::uint32_t kSlots = 18;
constexpr duration kRetryDelay = 5ms;
constexpr duration kReportInterval = 1s;
// A version is due this long after its acknowledgement, at nodes that have
// been calm for as long as `kCalmAfter`.
constexpr duration kDueAfter = 2s;
constexpr duration kCalmAfter = 3s;
// As those of the client of the store.
constexpr duration kConnectTimeout = 400ms;
constexpr duration kResponseTimeout = 700ms;

// All nodes share an address, and the port tells them apart.
node_address AddressOf(std::size_t index) {
  return {.host = "10.0.0.1",
          .peer_port = static_cast<std::uint16_t>(kFirstPort + index)};
}

std::size_t IndexOf(const node_address& address) {
  return address.peer_port - kFirstPort;
}

std::optional<route_config> Decode(const std::string& value) {
  route_config config;
  std::uint64_t number = 0;
  const char* last = value.data() + value.size();
  const auto [end, error] = std::from_chars(value.data(), last, number);
  if (error != std::errc() || (end != last && *end != ' ')) {
    return std::nullopt;
  }
  tenant_config tenant{.name = tenant_name("t")};
  std::istringstream keys(std::string(end, last));
  for (std::string key; keys >> key;) {
    tenant.keys.emplace_back(key);
  }
  if (!tenant.keys.empty()) {
    config.tenants.push_back(std::move(tenant));
  }
  config.version = route_version(number);
  config.routes.push_back({.name = class_name("browse"),
                           .host = kHost,
                           .prefix = "/",
                           .services = {{service_name("lots"), 1}},
                           .is_idempotent = true,
                           .max_attempts = 3,
                           .timeout = 5s});
  return config;
}

}  // namespace

registry_fleet::registry_fleet(std::size_t node_count,
                               std::uint64_t seed,
                               duration api_key_validity)
    : store_(kRouteKey), entropy_(seed), api_key_validity_(api_key_validity) {
  for (std::size_t i = 0; i < node_count; ++i) {
    nodes_.push_back(std::make_unique<node>());
    nodes_.back()->index = i;
    Restart(i);
  }
  After(kReportInterval, [this] { ReportEndpoints(); });
  After(interval_, [this] { SendRequests(); });
}

std::size_t request_record::RunsAfterThirdCrash(duration calm_after) const {
  if (crashes.size() < 3) {
    return 0;
  }
  const instant from = crashes[2] + calm_after;
  return static_cast<std::size_t>(std::count_if(
      runs.begin(), runs.end(), [&](instant run) { return run > from; }));
}

void registry_fleet::Change(std::uint64_t version,
                            const std::vector<std::string>& keys) {
  std::string value = std::to_string(version);
  for (const std::string& key : keys) {
    value += ' ' + key;
  }
  store_.WriteRoutes(value);
  changes_.push_back({version, now_});
}

void registry_fleet::Restart(std::size_t index) {
  node& started = *nodes_[index];
  ++started.run;
  started.version = 0;
  started.started_at = now_;
  started.store_calls.clear();
  started.executing.clear();
  started.calls.clear();
  started.state = std::make_unique<node_state>(
      node_options{.limit = limit_mode::kAnnounced,
                   .retries = retry_mode::kArrivals,
                   .discovery = discovery_mode::kRegistry,
                   .settings = settings_source::kRoutes,
                   .route_key = kRouteKey,
                   .refuses_child_calls_early = false,
                   .api_key_validity = api_key_validity_});
  Happen(started, node_started{.node = node_id(index + 1),
                               .run = incarnation(started.run),
                               .address = AddressOf(index),
                               .domain = domain_name("d1"),
                               .service = service_name("lots")});
  Report(started);
}

void registry_fleet::Pass(duration time) {
  const instant end = now_ + time;
  while (!schedule_.empty() && schedule_.top().at <= end) {
    const scheduled next = schedule_.top();
    schedule_.pop();
    now_ = next.at;
    store_.Pass(now_);
    next.action();
    Judge();
  }
  now_ = end;
}

std::uint64_t registry_fleet::VersionOf(std::size_t index) const {
  return nodes_[index]->version;
}

std::string registry_fleet::RoutesInViewOf(std::size_t index) {
  return ViewOf(*nodes_[index]).routes;
}

void registry_fleet::After(duration delay, std::function<void()> action) {
  schedule_.push({now_ + delay, next_order_++, std::move(action)});
}

void registry_fleet::Happen(node& to, event_content content) {
  const effects made = Reduce(*to.state, {now_, Random(), std::move(content)});
  for (const effect& each : made) {
    std::visit([this, &to](const auto& content) { Do(to, content); }, each);
  }
}

void registry_fleet::AddCulprit(request_digest digest, duration interval) {
  culprits_.insert(digest);
  SendCulprit(digest, interval);
}

void registry_fleet::SendCulprit(request_digest digest, duration interval) {
  After(interval, [this, digest, interval] { SendCulprit(digest, interval); });
  Send(Random() % nodes_.size(), digest);
}

void registry_fleet::CrashEndpoint(std::size_t index) {
  node& which = *nodes_[index];
  if (!which.is_endpoint_up) {
    return;
  }
  which.is_endpoint_up = false;
  ++which.endpoint_run;
  const bool is_hidden = hidden_one_in_ > 0 && Random() % hidden_one_in_ == 0;
  const error_kind error =
      is_hidden ? error_kind::kAnswerLost : error_kind::kEndpointCrashed;
  for (const auto& [work, digest] : std::exchange(which.executing, {})) {
    Happen(which,
           work_finished{
               work, {.error = error, .execution = execution_state::kUnknown}});
  }
  After(1s + Random() % 3000 * 1ms, [this, &which] {
    which.is_endpoint_up = true;
    Report(which);
  });
}

void registry_fleet::SendRequests() {
  After(interval_, [this] { SendRequests(); });
  if (!has_traffic_) {
    return;
  }
  for (const auto& each : nodes_) {
    const bool is_hot = hot_one_in_ > 0 && Random() % hot_one_in_ == 0;
    Send(*each, {request_digest(is_hot ? kHotDigest : Random())});
  }
}

void registry_fleet::Send(std::size_t index, request_digest digest) {
  Send(*nodes_[index], {digest});
}

void registry_fleet::Send(node& entry, client_request request) {
  request.arrived_at = now_;
  if (!client_keys_.empty()) {
    request.key = client_keys_[Random() % client_keys_.size()];
  }
  if (!IsCulprit(request.digest) && !request.is_retry) {
    ++innocents_.sent;
  }
  const call_id call(next_id_++);
  entry.calls[call] = request;
  call_arrived arrived{.call = call, .target = route_target{kHost, "/a"}};
  arrived.metadata.own_id = request_id(std::to_string(call.value()));
  arrived.metadata.root = arrived.metadata.own_id;
  arrived.metadata.digest = request.digest;
  arrived.metadata.time_left = 2s;
  if (!request.key.empty()) {
    arrived.key = api_key(request.key);
  }
  Happen(entry, arrived);
}

void registry_fleet::Do(node& from, const relay_answer& made) {
  const auto answered = from.calls.extract(made.call);
  if (answered && !IsCulprit(answered.mapped().digest)) {
    ++innocents_.served;
  }
}

void registry_fleet::Do(node& from, const refuse_call& made) {
  const auto refused = from.calls.extract(made.call);
  if (!refused) {
    return;
  }
  const client_request request = refused.mapped();
  const bool is_culprit = IsCulprit(request.digest);
  outdated_count_ += made.kind == error_kind::kApiKeysOutdated ? 1 : 0;
  if (TraitsOf(made.kind).name == "quarantined") {
    ++records_[request.digest].quarantined;
    innocents_.quarantined += is_culprit ? 0 : 1;
  }
  if (!request.is_retry) {
    After(std::max<duration>(made.retry_after, kRetryDelay),
          [this, &from, digest = request.digest] {
            Send(from, {.digest = digest, .is_retry = true});
          });
  }
}

void registry_fleet::Report(node& which) {
  if (which.is_endpoint_up) {
    Happen(which,
           endpoint_reported{.service = service_name("lots"),
                             .run = incarnation(which.endpoint_run),
                             .slots = kSlots,
                             .name = endpoint_name(
                                 "e" + std::to_string(which.endpoint_run))});
  }
}

void registry_fleet::ReportEndpoints() {
  After(kReportInterval, [this] { ReportEndpoints(); });
  for (const auto& each : nodes_) {
    Report(*each);
  }
}

void registry_fleet::Judge() {
  for (const acknowledged& change : changes_) {
    for (const auto& each : nodes_) {
      const instant due =
          std::max({change.at + kDueAfter, disturbed_at_ + kCalmAfter,
                    each->started_at + kCalmAfter});
      if (each->version < change.version && !store_.is_down() && now_ > due) {
        longest_delay_ = std::max(longest_delay_, now_ - due);
      }
    }
  }
}

void registry_fleet::Do(node& from, const call_store& made) {
  ++store_call_count_;
  from.store_calls.insert(made.call);
  const auto answer = [this, &from, call = made.call,
                       run = from.run](const store_result& result) {
    const bool is_open = from.run == run && from.store_calls.erase(call) > 0;
    if (is_open) {
      Happen(from, store_answered{call, result});
    }
  };
  After(kStoreDelay / 2, [this, &from, request = made.request, answer] {
    if (from.is_cut) {
      return;
    }
    store_.Call(now_, request, [this, answer](const store_result& result) {
      After(kStoreDelay / 2, [answer, result] { answer(result); });
    });
  });
  const auto* watch = std::get_if<store_watch>(&made.request);
  const duration extra = watch != nullptr ? watch->max_wait : duration();
  const duration timeout =
      store_.is_down() ? kConnectTimeout : kResponseTimeout + extra;
  After(timeout, [answer] { answer({.status = store_status::kUnavailable}); });
}

void registry_fleet::Do(node& from, const wake_at& made) {
  const std::uint64_t ticket = ++from.wake_ticket;
  After(std::max(duration::zero(), made.when - now_),
        [this, &from, ticket, run = from.run] {
          if (from.wake_ticket == ticket && from.run == run) {
            Happen(from, time_passed{});
          }
        });
}

void registry_fleet::Do(node& from, const decode_routes& made) {
  Happen(from, routes_decoded{Decode(made.value), made.value, made.reading});
}

void registry_fleet::Do(node& from, const log_decision& made) {
  if (made.record.kind == decision_kind::kRoutesTaken) {
    from.version = made.record.routes->value();
  }
}

void registry_fleet::Do(node& from, const send_attempt& made) {
  const work_id work(next_id_++);
  node& target = *nodes_[IndexOf(made.to)];
  works_[work] = {from.index, target.index, from.run, made.attempt,
                  made.metadata.digest};
  if (const auto call = from.calls.find(made.call); call != from.calls.end()) {
    accepted_at_[call->second.key] =
        std::max(accepted_at_[call->second.key], call->second.arrived_at);
  }
  Happen(from, attempt_sent{made.attempt, connection_id(1)});
  After(kHop, [this, &from, &target, work, metadata = made.metadata,
               sender = from.index] {
    if (&from != &target && (from.is_alone || target.is_alone)) {
      return;
    }
    Happen(target, work_arrived{.work = work,
                                .from = node_id(sender + 1),
                                .from_address = AddressOf(sender),
                                .metadata = metadata});
  });
}

void registry_fleet::Do(node& from, const execute_work& made) {
  if (!from.is_endpoint_up) {
    return After(
        duration::zero(), [this, &from, work = made.work, run = from.run] {
          if (from.run == run) {
            Happen(from,
                   work_finished{work,
                                 {.error = error_kind::kEndpointUnreachable,
                                  .execution = execution_state::kNotExecuted}});
          }
        });
  }
  Happen(from, work_sent{made.work, connection_id(2)});
  const auto open = works_.find(made.work);
  if (open == works_.end()) {
    return;
  }
  const request_digest digest = open->second.digest;
  from.executing[made.work] = digest;
  records_[digest].runs.push_back(now_);
  const duration time = IsCulprit(digest) ? 50ms + Random() % 50 * 1ms
                                          : 10ms + Random() % 50 * 1ms;
  After(time, [this, &from, work = made.work, run = from.run] {
    if (from.run == run) {
      FinishRun(from, work);
    }
  });
}

void registry_fleet::FinishRun(node& at, work_id work) {
  const auto running = at.executing.find(work);
  if (running == at.executing.end()) {
    return;
  }
  const request_digest digest = running->second;
  if (IsCulprit(digest)) {
    records_[digest].crashes.push_back(now_);
    return CrashEndpoint(at.index);
  }
  at.executing.erase(running);
  Happen(at, work_finished{work, {}});
}

void registry_fleet::Do(node& from, const cancel_work& made) {
  from.executing.erase(made.work);
}

void registry_fleet::Do(node&, const relay_work_answer& made) {
  outcome result;
  result.peer = made.metadata;
  EndAttempt(made.work, result);
}

void registry_fleet::Do(node&, const refuse_work& made) {
  outcome result{made.kind, made.execution};
  result.peer = made.metadata;
  EndAttempt(made.work, result);
}

void registry_fleet::Do(node& from, const request_view& made) {
  const node& peer = *nodes_[IndexOf(made.to)];
  After(kHop, [this, &from, &peer, run = from.run] {
    if (from.is_alone || peer.is_alone) {
      return;
    }
    After(kHop, [this, &from, run, view = ViewOf(peer)] {
      if (from.run == run) {
        Happen(from, view_received{view});
      }
    });
  });
}

peer_view registry_fleet::ViewOf(const node& which) {
  const effects made = Reduce(
      *which.state, {now_, Random(), view_requested{view_call_id(next_id_++)}});
  for (const effect& each : made) {
    if (const auto* sent = std::get_if<send_view>(&each)) {
      return sent->view;
    }
  }
  return {};
}

void registry_fleet::EndAttempt(work_id work, const outcome& result) {
  const auto found = works_.find(work);
  if (found == works_.end()) {
    return;
  }
  const open_work open = found->second;
  works_.erase(found);
  node& origin = *nodes_[open.from];
  const node& answering = *nodes_[open.at];
  if (&origin != &answering && (origin.is_alone || answering.is_alone)) {
    return;
  }
  After(kHop, [this, &origin, open, result] {
    if (origin.run == open.from_run) {
      Happen(origin, attempt_finished{open.attempt, result});
    }
  });
}

}  // namespace auburnfold
