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

/// Finds connections that have gone silent while their peer is well, from
/// this node's own attempts.
///
/// An attempt is overdue when it waits several times as long as the slowest
/// recent attempt of its class at the same peer. Its connection is silent
/// if others to the same peer have answered requests sent later. If none has,
/// the idle connections are closed, so that the next request opens a new one
/// and tells a silent connection from a silent peer.
class connection_monitor {
 public:
  void OnSent(event_context& context,
              attempt_id attempt,
              connection_id connection,
              node_id peer,
              const class_name& request_class);
  /// The peer answered.
  void OnAnswered(event_context& context, attempt_id attempt);
  /// The attempt ended without an answer, and its connection with it.
  void OnGivenUp(attempt_id attempt);
  /// The attempt is about to be given up, as the caller's deadline has passed.
  void OnDeadline(event_context& context, attempt_id attempt);
  void OnClosed(connection_id connection);
  /// Closes silent connections and returns the attempts lost with them. An
  /// attempt that `may_abandon` does not allow to be lost goes on: whoever
  /// cannot ask elsewhere only loses by not waiting.
  std::vector<attempt_id> OnTimer(
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
  struct connection {
    node_id peer;
    bool is_busy = false;
    instant last_used;
  };
  /// Answers of one class of request from one peer.
  struct answer_times {
    duration slowest{};
    std::uint32_t answers = 0;
  };
  struct peer_state {
    std::map<class_name, answer_times> times;
    /// Send instants of the newest requests that were answered.
    std::vector<instant> answered_sends;
    std::uint32_t connections = 0;
    instant idle_closed;
  };

  bool IsOverdue(instant now, const open_attempt& open) const;
  bool IsSilent(const open_attempt& open) const;
  void Close(event_context& context, connection_id id);
  void CloseIdle(event_context& context,
                 const node_id& peer,
                 instant used_before);
  void CloseLongIdle(event_context& context);
  void Forget(connection_id id);
  void Watch(event_context& context);

  std::map<attempt_id, open_attempt> attempts_;
  std::unordered_map<connection_id, connection> connections_;
  std::map<node_id, peer_state> peers_;
  std::optional<instant> next_look_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CONNECTIONS_CONNECTION_MONITOR_H_
