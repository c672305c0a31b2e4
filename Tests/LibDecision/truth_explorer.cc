#include "truth_explorer.h"

#include <utility>

#include "LibDecision/Idempotency/issued_key.h"

namespace auburnfold {

namespace {

using namespace std::chrono_literals;

constexpr int kSteps = 250;
constexpr int kOperations = 6;
constexpr duration kDeadline = 200ms;
const service_name kService("bookings");

// Operations with an even number ask for a key; the rest go without.
bool UsesKey(const std::string& operation) {
  return (operation.back() - '0') % 2 == 0;
}

}  // namespace

truth_report& truth_report::operator+=(const truth_report& other) {
  double_runs += other.double_runs;
  false_not_run += other.false_not_run;
  double_answers += other.double_answers;
  missing_answers += other.missing_answers;
  foreign_answers += other.foreign_answers;
  calls += other.calls;
  runs += other.runs;
  replays += other.replays;
  denials += other.denials;
  return *this;
}

truth_explorer::truth_explorer(std::uint64_t seed, taken_away missing)
    : random_(seed), missing_(missing), nodes_(2) {
  Start(0);
  Start(1);
}

truth_report truth_explorer::Run() {
  for (int event_context = 0; event_context < kSteps; ++event_context) {
    if (Chance(15)) {
      Disturb();
    }
    if (pending_.empty() || Chance(20)) {
      now_ += std::chrono::milliseconds(random_() % 20);
      Happen(random_() % nodes_.size(), time_passed{});
      continue;
    }
    const std::size_t chosen = random_() % pending_.size();
    const std::function<void()> action = std::move(pending_[chosen]);
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(chosen));
    action();
  }
  now_ += kDeadline;
  Happen(0, time_passed{});
  Happen(1, time_passed{});
  for (const auto& [id, call] : calls_) {
    report_.missing_answers += call.answers == 0 && !call.is_abandoned ? 1 : 0;
    report_.false_not_run += call.is_told_not_run && call.has_run ? 1 : 0;
  }
  report_.calls = static_cast<int>(calls_.size());
  return report_;
}

void truth_explorer::Later(std::function<void()> action) {
  pending_.push_back(std::move(action));
}

void truth_explorer::Start(std::size_t index) {
  peer_node& node = nodes_[index];
  ++node.run;
  node.state.emplace();
  node.remembered.clear();
  node.bodies.clear();
  for (auto& [id, call] : calls_) {
    call.is_abandoned = call.is_abandoned || call.entry == index;
  }
  Happen(index, node_started{.node = node_id(index + 1),
                             .run = incarnation(node.run),
                             .address = {.host = std::to_string(index)}});
  Happen(index, endpoint_reported{.service = kService,
                                  .run = incarnation(node.endpoint_run)});
  for (std::size_t other = 0; other < nodes_.size(); ++other) {
    member_record record{.node = node_id(index + 1),
                         .run = incarnation(node.run),
                         .version = 1,
                         .address = {.host = std::to_string(index)},
                         .service = kService};
    peer_message message{.from = node_id(index + 1),
                         .from_run = incarnation(node.run)};
    message.content = member_update{{record}};
    if (other != index && nodes_[other].state) {
      // The news may be late.
      Later(
          [this, other, message] { Happen(other, message_received{message}); });
    }
  }
}

void truth_explorer::Happen(std::size_t index, event_content content) {
  const effects made =
      Reduce(*nodes_[index].state, {now_, random_(), std::move(content)});
  for (const effect& each : made) {
    std::visit([this, index](const auto& found) { Do(index, found); }, each);
  }
}

void truth_explorer::Disturb() {
  const std::size_t node = random_() % nodes_.size();
  const std::uint64_t kind = random_() % 100;
  if (kind < 70) {
    const std::string operation = "o" + std::to_string(random_() % kOperations);
    const bool asks_for_key = UsesKey(operation) && !keys_.contains(operation);
    return SendCall(operation, asks_for_key);
  }
  if (kind < 80 && !calls_.empty()) {
    const call_id last = calls_.rbegin()->first;
    calls_.at(last).is_abandoned = true;
    return Happen(calls_.at(last).entry, call_cancelled{last});
  }
  if (kind < 85) {
    return Start(node);
  }
  if (kind < 87) {
    return Happen(node, stop_requested{});
  }
  if (kind < 93) {
    ++nodes_[node].endpoint_run;
  }
  Happen(node,
         endpoint_reported{.service = kService,
                           .state = Chance(10) ? endpoint_state::kLeaving
                                               : endpoint_state::kReady,
                           .run = incarnation(nodes_[node].endpoint_run)});
}

// A call without a key is an operation of its own: its client never resends.
void truth_explorer::SendCall(const std::string& operation, bool asks_for_key) {
  const call_id id(next_id_++);
  const std::size_t entry = random_() % nodes_.size();
  request_metadata metadata;
  metadata.service = kService;
  metadata.request_class = class_name("book");
  metadata.root = request_id(operation);
  metadata.time_left = kDeadline;
  if (asks_for_key) {
    metadata.purpose = request_purpose::kIssueKey;
  } else if (UsesKey(operation)) {
    metadata.key = keys_.at(operation);
  }
  const std::string name =
      metadata.key ? operation : operation + "/" + std::to_string(id.value());
  calls_[id] = {.entry = entry, .operation = asks_for_key ? operation : name};
  Happen(entry, call_arrived{.call = id, .metadata = metadata});
}

void truth_explorer::Do(std::size_t at, const send_attempt& made) {
  flights_.push_back({at, nodes_[at].run, made.attempt, made.call});
  const std::size_t flight = flights_.size() - 1;
  Later([this, at, made, flight, run = nodes_[at].run] {
    if (nodes_[at].run != run || flights_[flight].is_cancelled) {
      return;
    }
    if (Chance(10)) {
      return Deliver(
          at, run, made.attempt,
          {error_kind::kEndpointUnreachable, execution_state::kNotExecuted},
          "");
    }
    if (missing_ != taken_away::kSent) {
      Happen(at, attempt_sent{made.attempt, connection_id(next_id_++)});
    }
    if (flights_[flight].is_cancelled) {
      return;
    }
    if (Chance(15)) {
      // The connection breaks; the request may arrive all the same.
      const execution_state execution = missing_ == taken_away::kSent
                                            ? execution_state::kNotExecuted
                                            : execution_state::kUnknown;
      Later([this, at, run, made, execution] {
        Deliver(at, run, made.attempt, {error_kind::kAnswerLost, execution},
                "");
      });
    }
    if (Chance(10)) {
      return;
    }
    const std::size_t target = std::stoul(made.to.host);
    Later([this, target, made, flight, at, run] {
      const work_id work(next_id_++);
      works_[work] = {.at = target, .flight = flight};
      request_metadata metadata = made.metadata;
      if (missing_ == taken_away::kKeys) {
        metadata.key.reset();
      }
      work_arrived arrived{.work = work,
                           .from = node_id(at + 1),
                           .metadata = metadata,
                           .expected_run = made.expected_run};
      if (missing_ != taken_away::kWithdrawals) {
        arrived.attempt = {node_id(at + 1), incarnation(run), made.attempt};
      }
      Happen(target, arrived);
    });
  });
}

void truth_explorer::Do(std::size_t at, const cancel_attempt& made) {
  for (std::size_t i = 0; i < flights_.size(); ++i) {
    flight& each = flights_[i];
    const bool is_meant = each.from == at && each.attempt == made.attempt &&
                          each.from_run == nodes_[at].run;
    if (!is_meant) {
      continue;
    }
    each.is_cancelled = true;
    Later([this, i] {
      for (auto& [work, record] : works_) {
        if (record.flight == i && !record.is_cancelled) {
          record.is_cancelled = true;
          return Happen(record.at, work_cancelled{work});
        }
      }
    });
  }
}

void truth_explorer::Do(std::size_t at, const relay_answer& made) {
  call_record& call = calls_.at(made.call);
  report_.double_answers += ++call.answers > 1 ? 1 : 0;
  const std::string body = nodes_[at].bodies[made.attempt];
  const idempotency_key key(body);
  if (ParseKey(key)) {
    keys_.emplace(call.operation, key);
    return;
  }
  report_.foreign_answers += body != call.operation ? 1 : 0;
}

void truth_explorer::Do(std::size_t, const refuse_call& made) {
  call_record& call = calls_.at(made.call);
  report_.double_answers += ++call.answers > 1 ? 1 : 0;
  call.is_told_not_run = made.execution == execution_state::kNotExecuted;
}

void truth_explorer::Do(std::size_t at, const execute_work& made) {
  Later([this, at, work = made.work, run = nodes_[at].run] {
    if (nodes_[at].run == run) {
      RunAtEndpoint(at, work);
    }
  });
}

void truth_explorer::RunAtEndpoint(std::size_t at, work_id work) {
  work_record& record = works_.at(work);
  const bool is_ended = record.answers > 0 || record.is_cancelled;
  if (is_ended && missing_ != taken_away::kLastCancel) {
    return;
  }
  if (missing_ != taken_away::kSent) {
    Happen(at, work_sent{work, connection_id(next_id_++)});
  }
  const bool is_given_up = record.answers > 0;
  if (is_given_up && missing_ != taken_away::kLastCancel) {
    return;
  }
  call_record& call = calls_.at(flights_[record.flight].call);
  call.has_run = true;
  ++report_.runs;
  report_.double_runs += ++runs_[call.operation] > 1 ? 1 : 0;
  record.body = call.operation;
  Later([this, at, work, run = nodes_[at].run] {
    if (nodes_[at].run != run) {
      return;
    }
    outcome result;
    if (Chance(20)) {
      result = {error_kind::kAnswerTruncated,
                missing_ == taken_away::kSent ? execution_state::kNotExecuted
                                              : execution_state::kUnknown};
    }
    Happen(at, work_finished{work, result});
  });
}

void truth_explorer::Do(std::size_t, const cancel_work& made) {
  works_.at(made.work).is_cancelled = true;
}

void truth_explorer::AnswerWork(work_id work,
                                const outcome& result,
                                const std::string& body) {
  work_record& record = works_.at(work);
  report_.double_answers += ++record.answers > 1 ? 1 : 0;
  const flight& travelled = flights_[record.flight];
  if (Chance(10)) {
    return Later([this, travelled] {
      Deliver(travelled.from, travelled.from_run, travelled.attempt,
              {error_kind::kAnswerLost, execution_state::kUnknown}, "");
    });
  }
  Later([this, travelled, result, body] {
    Deliver(travelled.from, travelled.from_run, travelled.attempt, result,
            body);
  });
}

void truth_explorer::Deliver(std::size_t index,
                             std::uint64_t run,
                             attempt_id attempt,
                             const outcome& result,
                             const std::string& body) {
  if (nodes_[index].run != run) {
    return;
  }
  nodes_[index].bodies[attempt] = body;
  Happen(index, attempt_finished{attempt, result});
}

void truth_explorer::Do(std::size_t, const relay_work_answer& made) {
  AnswerWork(made.work, {.peer = made.metadata}, works_.at(made.work).body);
}

void truth_explorer::Do(std::size_t, const refuse_work& made) {
  AnswerWork(
      made.work,
      {.error = made.kind, .execution = made.execution, .peer = made.metadata},
      "");
}

void truth_explorer::Do(std::size_t, const answer_with_key& made) {
  AnswerWork(made.work, {.peer = made.metadata}, made.key.value());
}

void truth_explorer::Do(std::size_t at, const cache_answer& made) {
  nodes_[at].remembered[made.key] = works_.at(made.work).body;
}

void truth_explorer::Do(std::size_t at, const replay_answer& made) {
  ++report_.replays;
  AnswerWork(made.work, {.peer = made.metadata},
             nodes_[at].remembered.at(made.key));
}

void truth_explorer::Do(std::size_t at, const query_attempts& made) {
  const attempt_query_id received(next_id_++);
  queries_[received] = {at, nodes_[at].run, made.query};
  Later([this, at, received, made, run = nodes_[at].run] {
    Happen(std::stoul(made.to.host),
           attempts_queried{.query = received,
                            .from = node_id(at + 1),
                            .from_run = incarnation(run),
                            .from_host = std::to_string(at),
                            .expected_run = made.expected_run,
                            .attempts = made.attempts});
  });
}

void truth_explorer::Do(std::size_t, const send_attempt_reports& made) {
  Later([this, made] {
    const open_query asked = queries_.at(made.query);
    if (nodes_[asked.from].run != asked.from_run) {
      return;
    }
    for (const attempt_report& report :
         made.reports.value_or(std::vector<attempt_report>())) {
      report_.denials += report.state == attempt_state::kNeverArrived ? 1 : 0;
    }
    Happen(asked.from, attempt_reports_received{asked.query, made.reports});
  });
}

void truth_explorer::Do(std::size_t at, const stop_process&) {
  Later([this, at, run = nodes_[at].run] {
    if (nodes_[at].run == run) {
      Start(at);
    }
  });
}

void truth_explorer::Do(std::size_t at, const evict_answer& made) {
  nodes_[at].remembered.erase(made.key);
}

}  // namespace auburnfold
