#include "virtual_cluster.h"

#include <algorithm>
#include <variant>

namespace auburnfold::scenarios {

namespace {

using namespace std::chrono_literals;

constexpr duration kReportInterval = 1s;
constexpr duration kStoreDelay = 3ms;
constexpr duration kQueryTimeout = 500ms;
constexpr duration kWarmUp = 2s;
/// New work may reach a leaving endpoint for this long.
constexpr duration kLeavingLimit = 3s;

// One send at one service; with a key, every send is the same operation.
std::string OperationOf(const std::string& root,
                        std::uint16_t client_attempt,
                        const std::string& service,
                        bool has_key) {
  const std::string send = has_key ? "key" : std::to_string(client_attempt);
  return root + "/" + send + "/" + service;
}

}  // namespace

virtual_cluster::virtual_cluster(const scenario& plan,
                                 std::uint64_t seed,
                                 const node_options& options)
    : plan_(plan), options_(options), random_(seed), record_(plan) {
  for (const std::string& service : plan.services) {
    for (int i = 0; i < plan.endpoints_per_service; ++i) {
      auto made = std::make_unique<machine>();
      made->index = machines_.size();
      made->service = service;
      made->domain = "d" + std::to_string(i % plan.domains + 1);
      machine* raw = made.get();
      made->endpoint = std::make_unique<fake_endpoint>(
          plan.slots, plan.service_time, plan.holds_slot_while_waiting,
          random_(),
          fake_endpoint::surroundings{
              [this](duration delay, std::function<void()> action) {
                After(delay, std::move(action));
              },
              [this, raw](work_id work) { return CallDeeper(*raw, work); },
              [this, raw](work_id work, bool is_useful) {
                FinishWork(*raw, work, is_useful);
              }});
      machines_.push_back(std::move(made));
    }
  }
}

virtual_cluster::~virtual_cluster() = default;

std::map<std::string, double> virtual_cluster::Run() {
  for (const auto& each : machines_) {
    StartMachine(*each);
  }
  for (const fault_line& fault : plan_.faults) {
    After(kWarmUp + fault.at, [this, &fault] { Apply(fault); });
  }
  ScheduleArrival(duration::zero());
  const instant end = now_ + kWarmUp + plan_.length;
  while (!schedule_.empty() && schedule_.top().at <= end) {
    const scheduled next = schedule_.top();
    schedule_.pop();
    now_ = next.at;
    next.action();
  }
  std::map<std::string, double> figures = record_.Figures();
  for (const auto& [name, count] : counts_) {
    figures["count_" + name] = static_cast<double>(count);
  }
  figures["runs_over_rate"] =
      static_cast<double>(signal_record_.runs_over_rate());
  figures["runs_after_leave"] =
      static_cast<double>(signal_record_.runs_after_leave());
  figures["store_calls"] = static_cast<double>(store_.call_count());
  return figures;
}

void virtual_cluster::After(duration delay, std::function<void()> action) {
  schedule_.push({now_ + delay, next_order_++, std::move(action)});
}

void virtual_cluster::Happen(machine& to, event_content content) {
  if (!to.is_alive) {
    return;
  }
  if (to.is_frozen) {
    to.held_back.push_back(std::move(content));
    return;
  }
  const effects made = Reduce(*to.node, {now_, random_(), std::move(content)});
  for (const effect& each : made) {
    std::visit([this, &to](const auto& content) { Do(to, content); }, each);
  }
}

void virtual_cluster::StartMachine(machine& which) {
  which.is_alive = true;
  ++which.run;
  which.node.emplace(options_);
  node_started self;
  self.node = node_id(which.index + 1);
  self.run = incarnation(which.run);
  self.address.host = std::to_string(which.index);
  self.domain = domain_name(which.domain);
  for (std::size_t i = 0; i < 3; ++i) {
    self.seeds.push_back({.host = std::to_string(i)});
  }
  Happen(which, self);
  TellMembersAndRows(which);
  ReportEndpoint(which.index, which.run);
}

void virtual_cluster::KillMachine(machine& which) {
  SetSignals(which, {});
  which.endpoint->Reset();
  ++which.endpoint_run;
  which.leaving_since.reset();
  KillNode(which);
}

void virtual_cluster::KillNode(machine& which) {
  which.is_alive = false;
  which.is_frozen = false;
  which.held_back.clear();
  which.calls.clear();
  which.attempts.clear();
  which.connections.clear();
  which.bodies.clear();
  which.signals_by_attempt.clear();
  signal_record_.OnNodeRestarted(which.index);
  which.remembered.clear();
  std::vector<work_id> lost;
  for (const auto& [id, open] : works_) {
    if (open.machine == which.index) {
      lost.push_back(id);
    }
  }
  std::sort(lost.begin(), lost.end());
  const execution_state execution = plan_.missing == taken_away::kSent
                                        ? execution_state::kNotExecuted
                                        : execution_state::kUnknown;
  for (const work_id id : lost) {
    EndAttempt(id, {error_kind::kAnswerLost, execution}, "");
  }
}

// Every node begins with all rows and members, so that a scenario tests what
// happens from there on.
void virtual_cluster::TellMembersAndRows(machine& to) {
  row_update rows;
  for (const std::string& service : plan_.services) {
    for (const traffic_class& each : plan_.classes) {
      rows.rows.push_back({.service = service_name(service),
                           .request_class = class_name(each.name),
                           .version = row_version(1),
                           .settings = each.row});
    }
  }
  member_update members;
  for (const auto& each : machines_) {
    if (each->index == to.index) {
      continue;
    }
    members.records.push_back(
        {.node = node_id(each->index + 1),
         .run = incarnation(std::max<std::uint64_t>(2, each->run)),
         .state = member_state::kReady,
         .address = {.host = std::to_string(each->index)},
         .domain = domain_name(each->domain),
         .service = service_name(each->service)});
  }
  peer_message message{.from = node_id(machines_.front()->index + 1),
                       .from_run = incarnation(2)};
  message.content = rows;
  Happen(to, message_received{message});
  message.content = members;
  Happen(to, message_received{message});
}

void virtual_cluster::ReportEndpoint(std::size_t index, std::uint64_t run) {
  machine& which = *machines_[index];
  if (!which.is_alive || which.run != run) {
    return;
  }
  Happen(which, ReportOf(which));
  After(kReportInterval, [this, index, run] { ReportEndpoint(index, run); });
}

endpoint_reported virtual_cluster::ReportOf(const machine& which) const {
  const bool is_said =
      which.leaving_since && plan_.missing != taken_away::kLeaving;
  return {.service = service_name(which.service),
          .state = is_said ? endpoint_state::kLeaving : endpoint_state::kReady,
          .run = incarnation(which.endpoint_run)};
}

void virtual_cluster::SetSignals(machine& which,
                                 const endpoint_signals& signals) {
  which.signals = signals;
  signal_record_.OnSignalsChanged(which.index, signals, now_);
}

void virtual_cluster::ReplaceEndpoint(machine& which) {
  SetSignals(which, {});
  which.endpoint->Reset();
  ++which.endpoint_run;
  which.leaving_since.reset();
  Happen(which, ReportOf(which));
}

bool virtual_cluster::IsTarget(const machine& which,
                               const std::string& target) const {
  return target == "all" || target == which.service || target == which.domain ||
         target == "node" + std::to_string(which.index + 1);
}

void virtual_cluster::Apply(const fault_line& fault) {
  if (fault.verb == "store") {
    if (fault.target == "lose-answers") {
      return store_.LoseAnswers(static_cast<int>(fault.argument));
    }
    return store_.set_down(fault.target == "down");
  }
  if (fault.verb == "cut") {
    cut_domains_.insert(fault.target);
    return;
  }
  if (fault.verb == "join") {
    cut_domains_.erase(fault.target);
    return;
  }
  for (const auto& each : machines_) {
    machine& which = *each;
    if (!IsTarget(which, fault.target)) {
      continue;
    }
    if (fault.verb == "slow") {
      which.endpoint->set_slowness(fault.argument);
    } else if (fault.verb == "heal") {
      which.endpoint->set_slowness(1);
    } else if (fault.verb == "kill" || fault.verb == "kill-domain") {
      KillMachine(which);
    } else if (fault.verb == "start" || fault.verb == "start-domain") {
      StartMachine(which);
    } else if (fault.verb == "replace") {
      KillMachine(which);
      StartMachine(which);
    } else if (fault.verb == "replace-node") {
      KillNode(which);
      StartMachine(which);
    } else if (fault.verb == "replace-endpoint") {
      ReplaceEndpoint(which);
    } else if (fault.verb == "stop") {
      Happen(which, stop_requested{});
    } else if (fault.verb == "drain") {
      which.leaving_since = now_;
      Happen(which, ReportOf(which));
    } else if (fault.verb == "return") {
      which.leaving_since.reset();
      Happen(which, ReportOf(which));
    } else if (fault.verb == "name-rate") {
      SetSignals(which, {.rate_limit = request_rate(fault.argument)});
    } else if (fault.verb == "name-no-rate") {
      SetSignals(which, {});
    } else if (fault.verb == "say-leaving") {
      SetSignals(which, {.is_leaving = true});
    } else if (fault.verb == "freeze") {
      which.is_frozen = true;
    } else if (fault.verb == "wake") {
      which.is_frozen = false;
      for (event_content& held : std::exchange(which.held_back, {})) {
        Happen(which, std::move(held));
      }
    } else if (fault.verb == "silence") {
      for (auto& [target, links] : which.connections) {
        for (connection& link : links) {
          const bool is_hit =
              static_cast<double>(random_() % 100) < fault.argument * 100;
          link.is_silent = link.is_silent || is_hit;
        }
      }
    }
  }
}

bool virtual_cluster::IsCut(const machine& from, const machine& to) const {
  return cut_domains_.contains(from.domain) != cut_domains_.contains(to.domain);
}

duration virtual_cluster::DelayBetween(const machine& from, const machine& to) {
  const duration base =
      from.domain == to.domain ? plan_.hop_delay / 5 : plan_.hop_delay;
  return base + base * static_cast<int>(random_() % 20) / 100;
}

void virtual_cluster::ScheduleArrival(duration at) {
  double times = 0;
  for (const demand_step& event_context : plan_.demand) {
    if (event_context.at <= at) {
      times = event_context.times;
    }
  }
  const double rate = std::max(1.0, times * plan_.capacity());
  std::exponential_distribution<double> gap(rate);
  const auto next = at + std::chrono::duration_cast<duration>(
                             std::chrono::duration<double>(gap(random_)));
  After(next - (now_ - instant{} - kWarmUp), [this, next] {
    std::uniform_real_distribution<double> share(0, 1);
    double drawn = share(random_);
    std::size_t traffic = 0;
    while (traffic + 1 < plan_.classes.size() &&
           drawn >= plan_.classes[traffic].share) {
      drawn -= plan_.classes[traffic].share;
      ++traffic;
    }
    const std::string root = "r" + std::to_string(next_id_++);
    record_.OnDemand(root, traffic, next);
    SendFromClient({.root = root,
                    .traffic = traffic,
                    .give_up = now_ + 2 * plan_.deadline});
    ScheduleArrival(next);
  });
}

void virtual_cluster::SendFromClient(client_request request) {
  std::vector<machine*> reachable;
  for (const auto& each : machines_) {
    if (each->is_alive) {
      reachable.push_back(each.get());
    }
  }
  machine& entry = *reachable[random_() % reachable.size()];
  const traffic_class& traffic = plan_.classes[request.traffic];
  const bool asks_for_key = traffic.uses_key && !request.key;
  if (asks_for_key) {
    ++request.key_requests;
  } else {
    ++request.sends;
    ++request.unanswered;
    record_.OnClientSend(request.root);
  }
  const call_id id(next_id_++);
  open_call open;
  open.travel = {request.root, request.traffic, 0,
                 static_cast<std::uint16_t>(asks_for_key ? request.key_requests
                                                         : request.sends),
                 request.key};
  open.is_key_request = asks_for_key;
  open.allowance = traffic.row.retry_allowance;
  request_metadata metadata;
  metadata.root = request_id(request.root);
  metadata.service = service_name(traffic.path.front());
  metadata.request_class = class_name(traffic.name);
  metadata.tenant = tenant_name("default");
  metadata.time_left = plan_.deadline;
  metadata.client_attempt = open.travel.client_attempt;
  open.travel.sent = now_;
  metadata.key = request.key;
  metadata.purpose =
      asks_for_key ? request_purpose::kIssueKey : request_purpose::kExecute;
  if (!asks_for_key) {
    ResendIfImpatient(request);
  }
  clients_[request.root] = std::move(request);
  After(plan_.client_delay, [this, &entry, id, open, metadata] {
    if (entry.is_alive) {
      entry.calls[id] = open;
      Happen(entry, call_arrived{.call = id, .metadata = metadata});
    }
  });
}

// Sends again, through another node, while the first send is still open.
void virtual_cluster::ResendIfImpatient(const client_request& sent) {
  const bool may_resend =
      plan_.classes[sent.traffic].row.is_idempotent || sent.key.has_value();
  if (plan_.client_patience == duration::zero() || !may_resend) {
    return;
  }
  After(plan_.client_patience, [this, root = sent.root, sends = sent.sends] {
    const auto found = clients_.find(root);
    const bool is_waiting = found != clients_.end() &&
                            found->second.sends == sends &&
                            found->second.unanswered > 0;
    if (is_waiting && sends < plan_.client_tries) {
      SendFromClient(found->second);
    }
  });
}

void virtual_cluster::ResendFromClient(const client_request& request,
                                       duration retry_after) {
  const duration wait = plan_.has_hard_clients
                            ? plan_.client_backoff
                            : std::max(plan_.client_backoff, retry_after);
  const bool is_worth_it =
      request.sends < plan_.client_tries && now_ + wait < request.give_up;
  if (!is_worth_it) {
    clients_.erase(request.root);
    return;
  }
  After(wait, [this, root = request.root] {
    const auto found = clients_.find(root);
    if (found != clients_.end()) {
      SendFromClient(found->second);
    }
  });
}

void virtual_cluster::AnswerClient(const journey& travel,
                                   const std::string& body,
                                   const refuse_call* refusal) {
  const auto found = clients_.find(travel.root);
  if (found == clients_.end()) {
    return;
  }
  --found->second.unanswered;
  client_request request = found->second;
  const traffic_class& traffic = plan_.classes[travel.traffic];
  if (refusal == nullptr && !body.empty()) {
    record_.OnWhole(travel.root, body, now_ - instant{} - kWarmUp);
    clients_.erase(found);
    return;
  }
  // A whole answer without use says that the endpoint ran the work.
  request.may_have_run = request.may_have_run || refusal == nullptr;
  bool may_resend = traffic.row.is_idempotent || request.key.has_value();
  duration retry_after{};
  if (refusal == nullptr) {
    // The endpoint ran it and answered that it failed.
    request.may_have_run = true;
  } else {
    record_.OnRefused(OperationOf(travel.root, travel.client_attempt,
                                  traffic.path.front(), false),
                      refusal->kind, refusal->execution);
    const bool is_not_run = refusal->execution == execution_state::kNotExecuted;
    request.may_have_run = request.may_have_run || !is_not_run;
    may_resend = may_resend || is_not_run;
    retry_after = refusal->retry_after;
    if (!request.may_have_run && request.unanswered == 0) {
      // No send with the key has run, so another home may be asked.
      request.key.reset();
    }
  }
  found->second = request;
  if (may_resend) {
    ResendFromClient(request, retry_after);
  }
}

bool virtual_cluster::CallDeeper(machine& from, work_id work) {
  const auto found = works_.find(work);
  if (found == works_.end()) {
    // Its node was replaced; it goes on alone.
    return false;
  }
  const open_work& open = found->second;
  const traffic_class& traffic = plan_.classes[open.travel.traffic];
  const std::size_t next = open.travel.position + 1;
  if (next >= traffic.path.size()) {
    return false;
  }
  const call_id id(next_id_++);
  open_call made;
  made.travel = open.travel;
  made.travel.position = next;
  made.travel.sent = now_;
  made.travel.key.reset();
  made.parent = work;
  made.allowance = traffic.row.retry_allowance;
  from.calls[id] = made;
  request_metadata metadata;
  metadata.root = request_id(open.travel.root);
  metadata.service = service_name(traffic.path[next]);
  metadata.request_class = class_name(traffic.name);
  metadata.tenant = tenant_name("default");
  metadata.time_left = open.deadline - now_;
  metadata.client_attempt = open.travel.client_attempt;
  After(duration::zero(), [this, &from, id, work, metadata] {
    Happen(from, call_arrived{.call = id,
                              .parent = work,
                              .has_parent = true,
                              .metadata = metadata});
  });
  return true;
}

void virtual_cluster::FinishWork(machine& at, work_id work, bool is_useful) {
  const auto found = works_.find(work);
  if (found == works_.end()) {
    return;
  }
  finished_bodies_[std::to_string(work.value())] =
      is_useful ? found->second.travel.root : "";
  found->second.signals = at.signals;
  const bool is_read = plan_.missing != taken_away::kSignals;
  Happen(at, work_finished{
                 work, {.signals = is_read ? at.signals : endpoint_signals{}}});
  const auto ended = works_.find(work);
  if (ended != works_.end() && ended->second.is_abandoned) {
    works_.erase(ended);
  }
}

void virtual_cluster::EndAttempt(work_id work,
                                 const outcome& result,
                                 std::string body) {
  const auto found = works_.find(work);
  if (found == works_.end()) {
    return;
  }
  const open_work open = found->second;
  works_.erase(found);
  machine& origin = *machines_[open.origin];
  machine& target = *machines_[open.machine];
  if (IsCut(origin, target)) {
    return;
  }
  After(DelayBetween(origin, target), [this, &origin, open, result,
                                       body = std::move(body)] {
    const auto sent = origin.attempts.find(open.attempt);
    if (sent == origin.attempts.end()) {
      return;
    }
    origin.bodies[open.attempt] = body;
    origin.signals_by_attempt[open.attempt] = {open.machine, open.signals};
    FreeConnection(origin, sent->second, !result.peer);
    Happen(origin, attempt_finished{open.attempt, result});
    origin.attempts.erase(open.attempt);
  });
}

virtual_cluster::connection& virtual_cluster::TakeConnection(
    machine& from,
    std::size_t target) {
  std::vector<connection>& links = from.connections[target];
  for (connection& link : links) {
    if (!link.is_busy) {
      link.is_busy = true;
      return link;
    }
  }
  links.push_back({connection_id(next_id_++), true, false});
  return links.back();
}

void virtual_cluster::FreeConnection(machine& from,
                                     const open_attempt& used,
                                     bool is_closed) {
  std::vector<connection>& links = from.connections[used.target];
  for (auto link = links.begin(); link != links.end(); ++link) {
    if (link->id == used.connection) {
      link->is_busy = false;
      if (is_closed) {
        links.erase(link);
      }
      return;
    }
  }
}

void virtual_cluster::Do(machine& from, const send_attempt& made) {
  open_call& call = from.calls.at(made.call);
  if (++call.attempts > 1) {
    // Asking for a key is a request of its own.
    const std::string suffix = call.is_key_request ? "/key" : "";
    record_.OnRetry(call.travel.root + suffix, call.allowance);
  }
  machine& target = *machines_[std::stoul(made.to.host)];
  const connection link = TakeConnection(from, target.index);
  from.attempts[made.attempt] = {
      .call = made.call, .target = target.index, .connection = link.id};
  // No byte is sent where nobody accepts the connection.
  if (target.is_alive) {
    if (plan_.missing != taken_away::kSent) {
      Happen(from, attempt_sent{made.attempt, link.id});
    }
  }
  if (link.is_silent || IsCut(from, target)) {
    return;
  }
  const work_id work(next_id_++);
  from.attempts.at(made.attempt).work = work;
  open_work open{target.index, from.index, made.attempt, call.travel,
                 now_ + made.metadata.time_left};
  open.travel.key = made.metadata.key;
  const duration delay = DelayBetween(from, target);
  const attempt_key key{node_id(from.index + 1), incarnation(from.run),
                        made.attempt};
  After(delay, [this, &target, &from, work, open, made, delay, key] {
    if (!target.is_alive) {
      After(delay, [this, &from, attempt = made.attempt] {
        const auto sent = from.attempts.find(attempt);
        if (sent != from.attempts.end()) {
          FreeConnection(from, sent->second, true);
          Happen(from, attempt_finished{attempt,
                                        {error_kind::kEndpointUnreachable,
                                         execution_state::kNotExecuted}});
          from.attempts.erase(attempt);
        }
      });
      return;
    }
    works_[work] = open;
    request_metadata metadata = made.metadata;
    if (plan_.missing == taken_away::kKeys) {
      metadata.key.reset();
    }
    Happen(target, work_arrived{.work = work,
                                .from = node_id(from.index + 1),
                                .metadata = metadata,
                                .expected_run = made.expected_run,
                                .attempt = key});
  });
}

void virtual_cluster::Do(machine& from, const cancel_attempt& made) {
  const auto found = from.attempts.find(made.attempt);
  if (found == from.attempts.end()) {
    return;
  }
  const open_attempt cancelled = found->second;
  from.attempts.erase(found);
  FreeConnection(from, cancelled, true);
  machine& target = *machines_[cancelled.target];
  if (!cancelled.work || IsCut(from, target)) {
    return;
  }
  const work_id work = *cancelled.work;
  After(DelayBetween(from, target), [this, &target, work] {
    const auto given_up = works_.find(work);
    if (given_up == works_.end()) {
      return;
    }
    given_up->second.is_abandoned = true;
    Happen(target, work_cancelled{work});
    const bool is_settled = !target.is_frozen && !target.endpoint->Has(work);
    if (is_settled) {
      works_.erase(work);
    }
  });
}

void virtual_cluster::Do(machine& from, const relay_answer& made) {
  const auto found = from.calls.find(made.call);
  if (found == from.calls.end()) {
    return record_.OnDoubleAnswer();
  }
  const open_call call = found->second;
  from.calls.erase(found);
  // A paused node relays long after the answer has arrived.
  const auto arrived = from.bodies.extract(made.attempt);
  if (const auto said = from.signals_by_attempt.extract(made.attempt)) {
    signal_record_.OnRelayed(from.index, said.mapped().machine,
                             said.mapped().signals, now_);
  }
  const std::string body = arrived ? arrived.mapped() : "";
  if (call.parent) {
    return from.endpoint->OnDeeperAnswer(*call.parent, !body.empty());
  }
  After(plan_.client_delay, [this, call, body] {
    if (!call.is_key_request) {
      return AnswerClient(call.travel, body, nullptr);
    }
    const auto waiting = clients_.find(call.travel.root);
    // A second key for the same operation would allow a second run.
    if (waiting != clients_.end() && !waiting->second.key) {
      waiting->second.key = idempotency_key(body);
      SendFromClient(waiting->second);
    }
  });
}

void virtual_cluster::Do(machine& from, const refuse_call& made) {
  const auto found = from.calls.find(made.call);
  if (found == from.calls.end()) {
    return record_.OnDoubleAnswer();
  }
  const open_call call = found->second;
  from.calls.erase(found);
  if (call.parent) {
    // A call can be refused while its endpoint is still asking for it.
    return After(duration::zero(), [&from, parent = *call.parent] {
      from.endpoint->OnDeeperAnswer(parent, false);
    });
  }
  After(plan_.client_delay, [this, call, made] {
    const auto waiting = clients_.find(call.travel.root);
    if (!call.is_key_request) {
      AnswerClient(call.travel, "", &made);
    } else if (waiting != clients_.end()) {
      ResendFromClient(waiting->second, made.retry_after);
    }
  });
}

void virtual_cluster::Do(machine& from, const execute_work& made) {
  Happen(from, work_sent{made.work, connection_id(0)});
  const auto found = works_.find(made.work);
  if (found == works_.end()) {
    // Given up in the last moment: nothing is written.
    return;
  }
  const open_work& open = found->second;
  const traffic_class& traffic = plan_.classes[open.travel.traffic];
  const auto operation = [&](bool has_key) {
    return OperationOf(open.travel.root, open.travel.client_attempt,
                       from.service, has_key);
  };
  record_.OnRun(operation(open.travel.key.has_value()), operation(false),
                traffic.row.is_idempotent);
  if (from.leaving_since && now_ - *from.leaving_since > kLeavingLimit) {
    record_.OnRunWhileLeaving();
  }
  signal_record_.OnRun(from.index, open.origin, open.travel.sent, now_);
  from.endpoint->Start(made.work);
}

void virtual_cluster::Do(machine& from, const cancel_work& made) {
  from.endpoint->Cancel(made.work);
  const auto found = works_.find(made.work);
  if (found != works_.end() && found->second.is_abandoned) {
    works_.erase(found);
  }
}

void virtual_cluster::Do(machine&, const relay_work_answer& made) {
  const std::string name = std::to_string(made.work.value());
  outcome result;
  result.peer = made.metadata;
  const std::string body = finished_bodies_[name];
  finished_bodies_.erase(name);
  EndAttempt(made.work, result, body);
}

void virtual_cluster::Do(machine& from, const refuse_work& made) {
  from.endpoint->Cancel(made.work);
  outcome result{made.kind, made.execution};
  result.peer = made.metadata;
  EndAttempt(made.work, result, "");
}

void virtual_cluster::Do(machine&, const answer_with_key& made) {
  outcome result;
  result.peer = made.metadata;
  EndAttempt(made.work, result, made.key.value());
}

void virtual_cluster::Do(machine& from, const cache_answer& made) {
  from.remembered[made.key.value()] =
      finished_bodies_[std::to_string(made.work.value())];
}

void virtual_cluster::Do(machine& from, const replay_answer& made) {
  outcome result;
  result.peer = made.metadata;
  EndAttempt(made.work, result, from.remembered.at(made.key.value()));
}

void virtual_cluster::Do(machine& from, const evict_answer& made) {
  from.remembered.erase(made.key.value());
}

void virtual_cluster::Do(machine& from, const close_connection& made) {
  for (auto& [target, links] : from.connections) {
    std::erase_if(links, [&made](const connection& link) {
      return link.id == made.connection;
    });
  }
}

void virtual_cluster::Do(machine& from, const close_idle_connection& made) {
  for (auto& [target, links] : from.connections) {
    std::erase_if(links, [&made](const connection& link) {
      return link.id == made.connection && !link.is_busy;
    });
  }
}

void virtual_cluster::Do(machine& from, const query_attempts& made) {
  machine& target = *machines_[std::stoul(made.to.host)];
  const attempt_query_id received(next_id_++);
  queries_[received] = {from.index, from.run, made.query};
  After(kQueryTimeout, [this, received] { AnswerQuery(received, {}); });
  if (IsCut(from, target)) {
    return;
  }
  attempts_queried asked{.query = received,
                         .from = node_id(from.index + 1),
                         .from_run = incarnation(from.run),
                         .from_host = std::to_string(from.index),
                         .expected_run = made.expected_run,
                         .attempts = made.attempts};
  After(DelayBetween(from, target),
        [this, &target, asked = std::move(asked)] { Happen(target, asked); });
}

void virtual_cluster::Do(machine& from, const send_attempt_reports& made) {
  const auto found = queries_.find(made.query);
  if (found == queries_.end() ||
      IsCut(from, *machines_[found->second.origin])) {
    return;
  }
  After(DelayBetween(from, *machines_[found->second.origin]),
        [this, made] { AnswerQuery(made.query, made.reports); });
}

void virtual_cluster::AnswerQuery(
    attempt_query_id received,
    std::optional<std::vector<attempt_report>> reports) {
  const auto open = queries_.extract(received);
  if (!open) {
    return;
  }
  machine& origin = *machines_[open.mapped().origin];
  if (origin.run == open.mapped().origin_run) {
    Happen(origin,
           attempt_reports_received{open.mapped().query, std::move(reports)});
  }
}

void virtual_cluster::Do(machine& from, const send_message& made) {
  machine& target = *machines_[std::stoul(made.to.host)];
  if (IsCut(from, target)) {
    return;
  }
  After(DelayBetween(from, target), [this, &target, message = made.message] {
    Happen(target, message_received{message});
  });
}

void virtual_cluster::Do(machine& from, const call_store& made) {
  After(kStoreDelay, [this, &from, made, run = from.run] {
    store_.Call(made.request,
                [this, &from, made, run](const store_result& result) {
                  After(kStoreDelay, [this, &from, made, run, result] {
                    if (from.run == run) {
                      Happen(from, store_answered{made.call, result});
                    }
                  });
                });
  });
}

void virtual_cluster::Do(machine& from, const wake_at& made) {
  const std::uint64_t ticket = ++from.wake_ticket;
  After(std::max(duration::zero(), made.when - now_),
        [this, &from, ticket, run = from.run] {
          if (from.wake_ticket == ticket && from.run == run) {
            Happen(from, time_passed{});
          }
        });
}

void virtual_cluster::Do(machine&, const increment_counter& made) {
  counts_[std::string(NameOf(made.which))] += made.amount;
}

void virtual_cluster::Do(machine& from, const stop_process& made) {
  record_.OnStopped(made.aborted_requests);
  KillMachine(from);
}

}  // namespace auburnfold::scenarios
