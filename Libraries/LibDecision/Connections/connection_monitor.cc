#include "LibDecision/Connections/connection_monitor.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

using namespace std::chrono_literals;

/// Time between two checks of all open attempts.
constexpr duration kCheckInterval = 50ms;
constexpr duration kSuspiciousCheckInterval = 10ms;
/// Peers are not asked about younger attempts.
constexpr duration kMinQueryAge = 100ms;
/// The same for attempts on connections that may have gone silent together with
/// one that has.
constexpr duration kMinSuspectQueryAge = 20ms;
/// A peer is asked about an attempt after this multiple of the slowest recent
/// response time of its class.
constexpr int kSlowestFactor = 2;
/// The same where no response times of the class are known.
constexpr duration kUnknownClassQueryAge = 500ms;
/// At the latest, a peer is asked after this fraction of the time until the
/// deadline, so that a request that was lost can still be answered.
constexpr int kDeadlineDivisor = 2;
/// Number of answers of a class needed before its response times are used.
constexpr std::uint32_t kMinAnswers = 8;
/// Fraction of the slowest response time that remains after each faster answer.
constexpr double kSlowestDecay = 0.99;
/// Questions per attempt that the calm state allows, and how many may be saved
/// up.
constexpr double kCreditPerAttempt = 0.01;
constexpr double kMaxCredit = 8;
/// While a silent connection was found this recently, questions need no credit:
/// one cause silences many connections.
constexpr duration kSuspicionTime = 2s;
/// An answer that was sent this long ago is lost if no part of it has arrived.
/// A lost packet is retransmitted twice within this time.
constexpr duration kMaxAnswerTransit = 700ms;
/// A question about more attempts is split.
constexpr std::size_t kMaxAttemptsPerQuery = 64;
/// Connections unused for this long are closed, since a network device in
/// between may have dropped their state.
constexpr duration kMaxIdleTime = 30s;
/// Minimum time between two closings of a peer's idle connections.
constexpr duration kMinIdleCloseInterval = 200ms;

}  // namespace

void connection_monitor::answer_times::Add(duration elapsed) {
  const auto decayed =
      std::chrono::duration_cast<duration>(slowest * kSlowestDecay);
  slowest = std::max(elapsed, decayed);
  ++answers;
}

void connection_monitor::OnSent(event_context& context,
                                attempt_id attempt,
                                monitored_attempt sent) {
  const auto [found, is_new] = connections_.try_emplace(sent.connection);
  peers_.try_emplace(sent.peer);
  if (is_new) {
    found->second.peer = sent.peer;
  }
  const bool is_suspect = !is_new && IsSuspicious(context.now()) &&
                          found->second.last_used < *silence_found_;
  found->second.is_busy = true;
  found->second.last_used = context.now();
  query_credit_ = std::min(kMaxCredit, query_credit_ + kCreditPerAttempt);
  const instant query_at = FirstQueryAt(context.now(), sent, is_suspect);
  attempts_[attempt] = {
      .sent = std::move(sent), .sent_at = context.now(), .query_at = query_at};
  ScheduleCheck(context);
}

void connection_monitor::OnAnswered(event_context& context,
                                    attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const open_attempt& ended = found->second;
  const duration elapsed = context.now() - ended.sent_at;
  peers_[ended.sent.peer].times[ended.sent.request_class].Add(elapsed);
  times_[ended.sent.request_class].Add(elapsed);
  const auto connection = connections_.find(ended.sent.connection);
  if (connection != connections_.end()) {
    connection->second.is_busy = false;
    connection->second.last_used = context.now();
  }
  attempts_.erase(found);
}

void connection_monitor::OnAbandoned(attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const connection_id id = found->second.sent.connection;
  attempts_.erase(found);
  RemoveConnection(id);
}

// It is too late for this attempt, but connections that were idle at the same
// time may be silent too.
void connection_monitor::OnDeadline(event_context& context,
                                    attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end() &&
      found->second.state != attempt_state::kAtWork) {
    CloseIdle(context, found->second.sent.peer, found->second.sent_at);
  }
}

void connection_monitor::OnClosed(connection_id id) {
  RemoveConnection(id);
}

void connection_monitor::OnTimer(event_context& context) {
  next_check_.reset();
  SendQueries(context);
  CloseUnused(context);
  ScheduleCheck(context);
}

bool connection_monitor::IsSuspicious(instant now) const {
  return silence_found_ && now < *silence_found_ + kSuspicionTime;
}

// The peer's own times count first: peers differ in speed.
instant connection_monitor::FirstQueryAt(instant now,
                                         const monitored_attempt& sent,
                                         bool is_suspect) const {
  if (is_suspect) {
    return now + kMinSuspectQueryAge;
  }
  const auto known =
      [&sent](const std::map<class_name, answer_times>& by_class) {
        const auto found = by_class.find(sent.request_class);
        return found != by_class.end() && found->second.answers >= kMinAnswers
                   ? std::optional(kSlowestFactor * found->second.slowest)
                   : std::nullopt;
      };
  std::optional<duration> age = known(peers_.at(sent.peer).times);
  if (!age) {
    age = known(times_);
  }
  const duration latest = (sent.deadline - now) / kDeadlineDivisor;
  return now + std::max(kMinQueryAge,
                        std::min(age.value_or(kUnknownClassQueryAge), latest));
}

instant connection_monitor::NextQueryAt(instant now, const open_attempt& open) {
  return now + std::max(kMinQueryAge, now - open.sent_at);
}

bool connection_monitor::TryTakeCredit(instant now) {
  if (IsSuspicious(now)) {
    return true;
  }
  if (query_credit_ < 1) {
    return false;
  }
  query_credit_ -= 1;
  return true;
}

void connection_monitor::SendQueries(event_context& context) {
  std::map<query_target, query_attempts> queries;
  for (auto& [attempt, open] : attempts_) {
    const bool is_due =
        !open.is_queried && open.query_at && *open.query_at <= context.now();
    if (!is_due) {
      continue;
    }
    query_attempts& query = queries[{open.sent.peer, open.sent.peer_run}];
    if (query.attempts.size() == kMaxAttemptsPerQuery ||
        !TryTakeCredit(context.now())) {
      continue;
    }
    query.to = open.sent.address;
    query.expected_run = open.sent.peer_run;
    query.attempts.push_back(attempt);
    open.is_queried = true;
  }
  for (auto& [target, query] : queries) {
    if (query.attempts.empty()) {
      continue;
    }
    query.query = attempt_query_id(next_query_id_++);
    queries_[query.query] = query.attempts;
    context.Count(counter::kAttemptQueries);
    context.Emit(std::move(query));
  }
}

// A report on an attempt that was not asked about, or a second one, is ignored:
// only the receiver of an attempt can deny it.
std::vector<attempt_report> connection_monitor::OnReports(
    event_context& context,
    const attempt_reports_received& received) {
  const auto queried = queries_.extract(received.query);
  if (!queried) {
    return {};
  }
  std::vector<attempt_report> lost;
  for (const attempt_id attempt : queried.mapped()) {
    const auto open = attempts_.find(attempt);
    if (open == attempts_.end()) {
      continue;
    }
    open->second.is_queried = false;
    open->second.query_at = NextQueryAt(context.now(), open->second);
    if (!received.reports) {
      continue;
    }
    const auto report =
        std::find_if(received.reports->begin(), received.reports->end(),
                     [attempt](const attempt_report& each) {
                       return each.attempt == attempt;
                     });
    if (report != received.reports->end()) {
      OnReport(context, open->second, *report, lost);
    }
  }
  return lost;
}

void connection_monitor::OnReport(event_context& context,
                                  open_attempt& open,
                                  const attempt_report& report,
                                  std::vector<attempt_report>& lost) {
  open.state = report.state;
  const bool is_answer_on_its_way =
      report.state == attempt_state::kAnswered &&
      (report.is_in_transfer || report.answered_ago < kMaxAnswerTransit);
  if (is_answer_on_its_way) {
    open.query_at = context.now() + kMaxAnswerTransit;
    return;
  }
  const bool is_lost = report.state == attempt_state::kNeverArrived ||
                       report.state == attempt_state::kAnswered;
  if (is_lost) {
    open.query_at.reset();
    lost.push_back(report);
    SuspectOthers(context.now());
    ScheduleCheck(context);
  }
}

void connection_monitor::SuspectOthers(instant now) {
  silence_found_ = now;
  for (auto& [attempt, open] : attempts_) {
    if (open.query_at && open.state == attempt_state::kUnknown) {
      open.query_at =
          std::min(*open.query_at, open.sent_at + kMinSuspectQueryAge);
    }
  }
}

void connection_monitor::Drop(event_context& context, attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const open_attempt lost = std::move(found->second);
  attempts_.erase(found);
  context.Count(counter::kConnectionsReplaced);
  context.Emit(close_connection{lost.sent.connection});
  RemoveConnection(lost.sent.connection);
  CloseIdle(context, lost.sent.peer, lost.sent_at);
}

// Whatever silenced one connection may have silenced all that were idle at the
// time. A new connection costs little compared to a lost request.
void connection_monitor::CloseIdle(event_context& context,
                                   const node_id& peer,
                                   instant used_before) {
  peer_state& state = peers_.at(peer);
  const bool is_too_soon =
      state.idle_closed != instant() &&
      context.now() < state.idle_closed + kMinIdleCloseInterval;
  if (is_too_soon) {
    return;
  }
  std::vector<connection_id> suspects;
  for (const auto& [id, connection] : connections_) {
    if (connection.peer == peer && !connection.is_busy &&
        connection.last_used <= used_before) {
      suspects.push_back(id);
    }
  }
  std::sort(suspects.begin(), suspects.end());
  for (const connection_id id : suspects) {
    context.Emit(close_idle_connection{id});
    RemoveConnection(id);
  }
  if (!suspects.empty()) {
    state.idle_closed = context.now();
  }
}

void connection_monitor::CloseUnused(event_context& context) {
  std::vector<connection_id> expired;
  for (const auto& [id, connection] : connections_) {
    if (!connection.is_busy &&
        connection.last_used + kMaxIdleTime <= context.now()) {
      expired.push_back(id);
    }
  }
  std::sort(expired.begin(), expired.end());
  for (const connection_id id : expired) {
    context.Emit(close_idle_connection{id});
    RemoveConnection(id);
  }
}

void connection_monitor::RemoveConnection(connection_id id) {
  connections_.erase(id);
}

void connection_monitor::ScheduleCheck(event_context& context) {
  if (connections_.empty()) {
    return;
  }
  const duration busy_interval =
      IsSuspicious(context.now()) ? kSuspiciousCheckInterval : kCheckInterval;
  const duration interval = attempts_.empty() ? kMaxIdleTime : busy_interval;
  const instant due = context.now() + interval;
  if (!next_check_ || due < *next_check_) {
    next_check_ = due;
    context.timers().Schedule({timer_owner::kConnections}, due);
  }
}

}  // namespace auburnfold
