#ifndef LIBDECISION_WORK_RECEIVED_ATTEMPTS_H_
#define LIBDECISION_WORK_RECEIVED_ATTEMPTS_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "LibDecision/attempt_report.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Remembers which attempts of other nodes have arrived, so that their senders
/// can tell a slow answer from a lost request or answer.
///
/// Memory is bounded. Attempts that ended long ago are forgotten; whether one
/// of them had arrived is then unknown, and it is never reported as not
/// arrived.
class received_attempts {
 public:
  /// Returns whether the attempt may be handled. Otherwise its sender was told
  /// that it never arrived.
  bool OnArrived(const attempt_key& key);
  /// The attempt was answered or refused, or its sender has cancelled it.
  void OnEnded(instant now, const attempt_key& key);

  /// Reports on an attempt to its sender. An attempt that is reported as never
  /// arrived is refused from now on. `may_have_arrived` is set if it may have
  /// reached an earlier run of this node, or is just being received.
  attempt_report Explain(instant now,
                         const attempt_key& key,
                         bool may_have_arrived);

  std::size_t size() const { return received_.size() + withdrawn_.size(); }

 private:
  /// The latest forgotten attempts of one sender. Later runs of a sender
  /// replace earlier ones.
  struct forgotten_attempts {
    incarnation run;
    attempt_id last;

    void Add(const attempt_key& key);
    /// Whether the attempt may be one of them.
    bool Covers(const attempt_key& key) const;
  };

  bool IsForgotten(const attempt_key& key) const;
  bool IsWithdrawn(const attempt_key& key) const;
  void Withdraw(const attempt_key& key);

  /// When each attempt ended; unset while it is at work.
  std::unordered_map<attempt_key, std::optional<instant>> received_;
  /// Attempts in `received_` that have ended, the oldest first.
  std::deque<attempt_key> ended_;
  std::unordered_map<node_id, forgotten_attempts> forgotten_;
  /// Attempts that were reported as never arrived.
  std::unordered_set<attempt_key> withdrawn_;
  std::deque<attempt_key> withdrawn_order_;
  /// The latest forgotten one of each run of a sender.
  std::map<std::pair<node_id, incarnation>, attempt_id> forgotten_withdrawn_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORK_RECEIVED_ATTEMPTS_H_
