#ifndef LIBDECISION_CONNECTIONS_CONNECTION_MONITOR_H_
#define LIBDECISION_CONNECTIONS_CONNECTION_MONITOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibDecision/attempt_report.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// An attempt that is about to be written to a connection.
struct monitored_attempt {
  connection_id connection;
  node_id peer;
  /// The incarnation of the peer that the attempt is meant for.
  incarnation peer_run;
  node_address address;
  class_name request_class;
  instant deadline;
};

/// Finds silent connections to healthy peers.
///
/// A slow answer proves nothing about its connection, so the monitor asks the
/// peer about an attempt that takes unusually long. The attempt's connection is
/// silent if the request never arrived, or if its answer was sent a while ago.
/// An attempt that is at work keeps waiting.
class connection_monitor {
 public:
  void OnSent(event_context& context,
              attempt_id attempt,
              monitored_attempt sent);
  /// The peer answered the attempt.
  void OnAnswered(event_context& context, attempt_id attempt);
  /// The attempt ended without an answer and its connection was closed.
  void OnAbandoned(attempt_id attempt);
  /// The attempt is about to be abandoned because the caller's deadline has
  /// passed. Closes the peer's idle connections unless the peer is known to be
  /// at work.
  void OnDeadline(event_context& context, attempt_id attempt);
  void OnClosed(connection_id connection);
  /// Asks peers about attempts that take long, and closes unused connections.
  void OnTimer(event_context& context);
  /// Returns the reports on attempts whose connection is silent. The owner
  /// either drops such an attempt or lets it wait; it is not asked about again.
  std::vector<attempt_report> OnReports(
      event_context& context,
      const attempt_reports_received& received);
  /// Closes the connection of an attempt that is lost, and the idle connections
  /// that may have gone silent with it.
  void Drop(event_context& context, attempt_id attempt);

  std::size_t connection_count() const { return connections_.size(); }

 private:
  struct open_attempt {
    monitored_attempt sent;
    instant sent_at;
    /// When to ask the peer about it; unset if there is nothing to ask.
    std::optional<instant> query_at;
    bool is_queried = false;
    /// What the peer said last.
    attempt_state state = attempt_state::kUnknown;
  };
  struct connection_state {
    node_id peer;
    bool is_busy = false;
    instant last_used;
  };
  /// Response times of one class.
  struct answer_times {
    duration slowest{};
    std::uint32_t answers = 0;

    void Add(duration elapsed);
  };
  struct peer_state {
    std::map<class_name, answer_times> times;
    instant idle_closed;
  };
  /// Attempts of one peer and incarnation are asked about in one question.
  using query_target = std::pair<node_id, incarnation>;

  /// `is_suspect` is set if the connection may have gone silent while idle.
  instant FirstQueryAt(instant now,
                       const monitored_attempt& sent,
                       bool is_suspect) const;
  /// When to ask again about an attempt that may be at work.
  static instant NextQueryAt(instant now, const open_attempt& open);
  bool IsSuspicious(instant now) const;
  bool TryTakeCredit(instant now);
  void SendQueries(event_context& context);
  void OnReport(event_context& context,
                open_attempt& open,
                const attempt_report& report,
                std::vector<attempt_report>& lost);
  /// One silent connection was found: others may have gone silent with it.
  void SuspectOthers(instant now);
  void CloseIdle(event_context& context,
                 const node_id& peer,
                 instant used_before);
  void CloseUnused(event_context& context);
  void RemoveConnection(connection_id id);
  void ScheduleCheck(event_context& context);

  std::map<attempt_id, open_attempt> attempts_;
  std::unordered_map<connection_id, connection_state> connections_;
  std::map<node_id, peer_state> peers_;
  /// Response times of all peers together.
  std::map<class_name, answer_times> times_;
  std::map<attempt_query_id, std::vector<attempt_id>> queries_;
  std::uint64_t next_query_id_ = 1;
  /// Attempts that may still be asked about.
  double query_credit_ = 1;
  /// When the last silent connection was found.
  std::optional<instant> silence_found_;
  std::optional<instant> next_check_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CONNECTIONS_CONNECTION_MONITOR_H_
