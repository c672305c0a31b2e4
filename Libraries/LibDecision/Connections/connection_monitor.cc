#include "LibDecision/Connections/connection_monitor.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

using namespace std::chrono_literals;

/// Time between two checks of all open attempts.
constexpr duration kCheckInterval = 50ms;
/// Attempts younger than this are never overdue.
constexpr duration kMinOverdueTime = 100ms;
/// An attempt is overdue after this multiple of the slowest recent response
/// time of its class.
constexpr int kOverdueFactor = 4;
/// The same for a class with too few answers from the peer, relative to the
/// peer's slowest class.
constexpr int kUnknownClassOverdueFactor = 6;
/// Number of answers of a class needed before its response times are used.
constexpr std::uint32_t kMinAnswers = 8;
/// Number of later requests that the peer must have answered on other
/// connections before a connection counts as silent.
constexpr std::size_t kMinLaterAnswers = 3;
/// Fraction of the slowest response time that remains after each faster answer.
constexpr double kSlowestDecay = 0.99;
/// Connections unused for this long are closed, since a network device in
/// between may have dropped their state.
constexpr duration kMaxIdleTime = 30s;
/// Minimum time between two closings of a peer's idle connections.
constexpr duration kMinIdleCloseInterval = 200ms;

}  // namespace

void connection_monitor::OnSent(event_context& context,
                                attempt_id attempt,
                                connection_id id,
                                node_id peer,
                                const class_name& request_class) {
  const auto [found, is_new] = connections_.try_emplace(id);
  if (is_new) {
    found->second.peer = peer;
    ++peers_[peer].connections;
  }
  found->second.is_busy = true;
  found->second.last_used = context.now();
  attempts_[attempt] = {id, peer, request_class, context.now()};
  ScheduleCheck(context);
}

void connection_monitor::OnAnswered(event_context& context,
                                    attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const open_attempt& ended = found->second;
  peer_state& peer = peers_[ended.peer];
  answer_times& times = peer.times[ended.request_class];
  const duration elapsed = context.now() - ended.sent;
  const auto decayed =
      std::chrono::duration_cast<duration>(times.slowest * kSlowestDecay);
  times.slowest = std::max(elapsed, decayed);
  ++times.answers;
  // Replaces the earliest send, so that the latest ones are kept.
  std::vector<instant>& send_times = peer.answered_send_times;
  if (send_times.size() < kMinLaterAnswers) {
    send_times.push_back(ended.sent);
  } else {
    instant& oldest = *std::min_element(send_times.begin(), send_times.end());
    oldest = std::max(oldest, ended.sent);
  }
  const auto connection = connections_.find(ended.connection);
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
  const connection_id id = found->second.connection;
  attempts_.erase(found);
  RemoveConnection(id);
}

// It is too late for this attempt, but connections that were idle at the same
// time may be silent too.
void connection_monitor::OnDeadline(event_context& context,
                                    attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end() && IsSilent(found->second)) {
    CloseIdle(context, found->second.peer, found->second.sent);
  }
}

void connection_monitor::OnClosed(connection_id id) {
  RemoveConnection(id);
}

std::vector<dropped_attempt> connection_monitor::OnTimer(
    event_context& context,
    const std::function<bool(attempt_id)>& may_abandon) {
  next_check_.reset();
  std::vector<dropped_attempt> lost;
  for (const auto& [attempt, open] : attempts_) {
    if (!IsOverdue(context.now(), open)) {
      continue;
    }
    if (IsSilent(open) && may_abandon(attempt)) {
      const answer_times times = KnownTimes(open);
      lost.push_back({attempt, times.answers, times.slowest});
    }
    CloseIdle(context, open.peer, open.sent);
  }
  for (const dropped_attempt& dropped : lost) {
    const open_attempt silent = attempts_.at(dropped.attempt);
    context.Count(counter::kConnectionsReplaced);
    attempts_.erase(dropped.attempt);
    Close(context, silent.connection);
  }
  CloseUnused(context);
  ScheduleCheck(context);
  return lost;
}

bool connection_monitor::HasClassTimes(const open_attempt& open) const {
  const peer_state& peer = peers_.at(open.peer);
  const auto times = peer.times.find(open.request_class);
  return times != peer.times.end() && times->second.answers >= kMinAnswers;
}

// With too few answers of the class, the slowest of all classes counts.
connection_monitor::answer_times connection_monitor::KnownTimes(
    const open_attempt& open) const {
  const peer_state& peer = peers_.at(open.peer);
  if (HasClassTimes(open)) {
    return peer.times.at(open.request_class);
  }
  answer_times all;
  for (const auto& [name, times] : peer.times) {
    all.slowest = std::max(all.slowest, times.slowest);
    all.answers += times.answers;
  }
  return all;
}

bool connection_monitor::IsOverdue(instant now,
                                   const open_attempt& open) const {
  const duration waiting = now - open.sent;
  if (waiting < kMinOverdueTime) {
    return false;
  }
  const answer_times times = KnownTimes(open);
  const int factor =
      HasClassTimes(open) ? kOverdueFactor : kUnknownClassOverdueFactor;
  return times.answers >= kMinAnswers && waiting > factor * times.slowest;
}

bool connection_monitor::IsSilent(const open_attempt& open) const {
  const std::vector<instant>& send_times =
      peers_.at(open.peer).answered_send_times;
  const auto later =
      std::count_if(send_times.begin(), send_times.end(),
                    [&open](instant sent) { return sent > open.sent; });
  return static_cast<std::size_t>(later) >= kMinLaterAnswers;
}

void connection_monitor::Close(event_context& context, connection_id id) {
  context.Emit(close_connection{id});
  RemoveConnection(id);
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
    Close(context, id);
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
    Close(context, id);
  }
}

void connection_monitor::RemoveConnection(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  const auto peer = peers_.find(found->second.peer);
  connections_.erase(found);
  if (--peer->second.connections == 0) {
    peer->second.answered_send_times.clear();
  }
}

void connection_monitor::ScheduleCheck(event_context& context) {
  if (connections_.empty()) {
    return;
  }
  const duration interval = attempts_.empty() ? kMaxIdleTime : kCheckInterval;
  const instant due = context.now() + interval;
  if (!next_check_ || due < *next_check_) {
    next_check_ = due;
    context.timers().Schedule({timer_owner::kConnections}, due);
  }
}

}  // namespace auburnfold
