#ifndef LIBDECISION_CONNECTIONS_CONNECTION_MONITOR_H_
#define LIBDECISION_CONNECTIONS_CONNECTION_MONITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// An attempt whose connection was closed, and what made it overdue.
struct dropped_attempt {
  attempt_id attempt;
  /// Answers known of the class at the peer, or of the peer's other classes.
  std::uint32_t known_answers = 0;
  duration slowest{};
};

/// Detects silent connections to healthy peers by watching this node's own
/// attempts.
///
/// An attempt is overdue when it takes several times as long as the slowest
/// recent attempt of its class at the same peer. Its connection is silent if
/// the peer has answered requests sent later on other connections. The peer's
/// idle connections are also closed when an attempt is overdue, so that the
/// next request opens a new connection; its answer then shows whether the
/// connection or the peer is silent.
class connection_monitor {
 public:
  void OnSent(event_context& context,
              attempt_id attempt,
              connection_id connection,
              node_id peer,
              const class_name& request_class);
  /// The peer answered the attempt.
  void OnAnswered(event_context& context, attempt_id attempt);
  /// The attempt ended without an answer and its connection was closed.
  void OnAbandoned(attempt_id attempt);
  /// The attempt is about to be abandoned because the caller's deadline has
  /// passed. Closes the peer's idle connections if the attempt's one is silent.
  void OnDeadline(event_context& context, attempt_id attempt);
  void OnClosed(connection_id connection);
  /// Closes silent and unused connections and returns the attempts lost with
  /// them. An attempt that `may_abandon` rejects keeps waiting, since a call
  /// that cannot be sent elsewhere gains nothing by giving up.
  std::vector<dropped_attempt> OnTimer(
      event_context& context,
      const std::function<bool(attempt_id)>& may_abandon);

  std::size_t connection_count() const { return connections_.size(); }

 private:
  struct open_attempt {
    connection_id connection;
    node_id peer;
    class_name request_class;
    instant sent;
  };
  struct connection_state {
    node_id peer;
    bool is_busy = false;
    instant last_used;
  };
  /// Response times of one peer for one class.
  struct answer_times {
    duration slowest{};
    std::uint32_t answers = 0;
  };
  struct peer_state {
    std::map<class_name, answer_times> times;
    /// Send times of the answered requests that were sent last.
    std::vector<instant> answered_send_times;
    std::uint32_t connections = 0;
    instant idle_closed;
  };

  /// The answers that the attempt's time is compared with.
  answer_times KnownTimes(const open_attempt& open) const;
  bool HasClassTimes(const open_attempt& open) const;
  bool IsOverdue(instant now, const open_attempt& open) const;
  bool IsSilent(const open_attempt& open) const;
  void Close(event_context& context, connection_id id);
  void CloseIdle(event_context& context,
                 const node_id& peer,
                 instant used_before);
  void CloseUnused(event_context& context);
  void RemoveConnection(connection_id id);
  void ScheduleCheck(event_context& context);

  std::map<attempt_id, open_attempt> attempts_;
  std::unordered_map<connection_id, connection_state> connections_;
  std::map<node_id, peer_state> peers_;
  std::optional<instant> next_check_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CONNECTIONS_CONNECTION_MONITOR_H_
