#ifndef LIBDECISION_MEMBERSHIP_FAILURE_DETECTOR_H_
#define LIBDECISION_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// What to do about members that have gone silent.
struct silence_report {
  /// Ask these directly whether they live.
  std::vector<node_id> to_probe;
  /// These were asked and did not answer.
  std::vector<node_id> dead;
};

/// Judges the members whose heartbeats this node must hear. Nothing is judged
/// while this node hears from nobody, or right after it was paused itself.
class failure_detector {
 public:
  static constexpr duration kHeartbeatInterval = std::chrono::seconds(1);

  void OnHeard(instant now, node_id node);
  /// A node that was found dead says that it lives: be more patient with it.
  void OnRefuted(node_id node);
  /// Called at each heartbeat interval.
  silence_report Check(event_context& context,
                       const std::vector<node_id>& watched);

 private:
  struct watched_node {
    instant heard{};
    int probes = 0;
    /// Waits longer while many are silent at once.
    duration extra_patience{};
    std::uint32_t refutations = 0;
  };
  struct silence_count {
    std::size_t heard = 0;
    std::size_t silent = 0;
  };

  bool WasPaused(instant now);
  silence_count CountSilent(instant now) const;
  void ForgetOld(instant now, const std::vector<node_id>& watched);
  void Judge(event_context& context,
             node_id node,
             watched_node& state,
             const silence_count& around,
             silence_report& report);

  std::unordered_map<node_id, watched_node> nodes_;
  instant checked_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_FAILURE_DETECTOR_H_
