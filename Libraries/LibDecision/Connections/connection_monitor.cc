#include "LibDecision/Connections/connection_monitor.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

using namespace std::chrono_literals;

/// Time between two looks at all open attempts.
constexpr duration kLookInterval = 50ms;
/// An attempt is never overdue earlier.
constexpr duration kShortestOverdue = 100ms;
/// An attempt is overdue after this many times the slowest recent one.
constexpr int kOverdueFactor = 4;
/// The same for a class that the peer has seldom answered, compared with its
/// slowest class.
constexpr int kUnknownOverdueFactor = 6;
/// Answers of a class from a peer before its attempts are judged.
constexpr std::uint32_t kLeastAnswers = 8;
/// Later requests that others must have answered.
constexpr std::size_t kProofs = 3;
/// Share of the slowest time that is kept with each faster answer.
constexpr double kSlowestDecay = 0.99;
/// An unused connection is closed after this long: what lies between may have
/// lost track of it.
constexpr duration kIdleLimit = 30s;
/// Shortest time between two closings of a peer's idle connections.
constexpr duration kIdleCloseInterval = 200ms;

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
  Watch(context);
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
  // The smallest element goes first, so the newest sends stay.
  std::vector<instant>& sends = peer.answered_sends;
  if (sends.size() < kProofs) {
    sends.push_back(ended.sent);
  } else {
    instant& oldest = *std::min_element(sends.begin(), sends.end());
    oldest = std::max(oldest, ended.sent);
  }
  const auto link = connections_.find(ended.connection);
  if (link != connections_.end()) {
    link->second.is_busy = false;
    link->second.last_used = context.now();
  }
  attempts_.erase(found);
}

void connection_monitor::OnGivenUp(attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found == attempts_.end()) {
    return;
  }
  const connection_id id = found->second.connection;
  attempts_.erase(found);
  Forget(id);
}

// Too late for this attempt, but what was idle beside it may be silent too.
void connection_monitor::OnDeadline(event_context& context,
                                    attempt_id attempt) {
  const auto found = attempts_.find(attempt);
  if (found != attempts_.end() && IsSilent(found->second)) {
    CloseIdle(context, found->second.peer, found->second.sent);
  }
}

void connection_monitor::OnClosed(connection_id id) {
  Forget(id);
}

std::vector<attempt_id> connection_monitor::OnTimer(
    event_context& context,
    const std::function<bool(attempt_id)>& may_abandon) {
  next_look_.reset();
  std::vector<attempt_id> lost;
  for (const auto& [attempt, open] : attempts_) {
    if (!IsOverdue(context.now(), open)) {
      continue;
    }
    if (IsSilent(open) && may_abandon(attempt)) {
      lost.push_back(attempt);
    }
    CloseIdle(context, open.peer, open.sent);
  }
  for (const attempt_id attempt : lost) {
    const open_attempt silent = attempts_.at(attempt);
    context.Count(counter::kConnectionsReplaced);
    attempts_.erase(attempt);
    Close(context, silent.connection);
  }
  CloseLongIdle(context);
  Watch(context);
  return lost;
}

bool connection_monitor::IsOverdue(instant now,
                                   const open_attempt& open) const {
  const duration waiting = now - open.sent;
  if (waiting < kShortestOverdue) {
    return false;
  }
  const peer_state& peer = peers_.at(open.peer);
  const auto own = peer.times.find(open.request_class);
  const bool is_known =
      own != peer.times.end() && own->second.answers >= kLeastAnswers;
  if (is_known) {
    return waiting > kOverdueFactor * own->second.slowest;
  }
  // Nothing is known of its class: take the slowest of the others.
  duration slowest{};
  std::uint32_t answers = 0;
  for (const auto& [name, times] : peer.times) {
    slowest = std::max(slowest, times.slowest);
    answers += times.answers;
  }
  return answers >= kLeastAnswers && waiting > kUnknownOverdueFactor * slowest;
}

bool connection_monitor::IsSilent(const open_attempt& open) const {
  const std::vector<instant>& sends = peers_.at(open.peer).answered_sends;
  const auto later =
      std::count_if(sends.begin(), sends.end(),
                    [&open](instant sent) { return sent > open.sent; });
  return static_cast<std::size_t>(later) >= kProofs;
}

void connection_monitor::Close(event_context& context, connection_id id) {
  context.Emit(close_connection{id});
  Forget(id);
}

// What silenced one connection may have silenced all that were idle at the
// time. A new connection costs little beside a lost request.
void connection_monitor::CloseIdle(event_context& context,
                                   const node_id& peer,
                                   instant used_before) {
  peer_state& state = peers_.at(peer);
  const bool is_too_soon =
      state.idle_closed != instant() &&
      context.now() < state.idle_closed + kIdleCloseInterval;
  if (is_too_soon) {
    return;
  }
  std::vector<connection_id> suspects;
  for (const auto& [id, link] : connections_) {
    if (link.peer == peer && !link.is_busy && link.last_used <= used_before) {
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

void connection_monitor::CloseLongIdle(event_context& context) {
  std::vector<connection_id> unused;
  for (const auto& [id, link] : connections_) {
    if (!link.is_busy && link.last_used + kIdleLimit <= context.now()) {
      unused.push_back(id);
    }
  }
  std::sort(unused.begin(), unused.end());
  for (const connection_id id : unused) {
    Close(context, id);
  }
}

void connection_monitor::Forget(connection_id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  const auto peer = peers_.find(found->second.peer);
  connections_.erase(found);
  if (--peer->second.connections == 0) {
    peer->second.answered_sends.clear();
  }
}

void connection_monitor::Watch(event_context& context) {
  if (connections_.empty()) {
    return;
  }
  const duration interval = attempts_.empty() ? kIdleLimit : kLookInterval;
  const instant due = context.now() + interval;
  if (!next_look_ || due < *next_look_) {
    next_look_ = due;
    context.timers().Schedule({timer_owner::kConnections}, due);
  }
}

}  // namespace auburnfold
