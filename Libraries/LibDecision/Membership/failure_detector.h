#ifndef LIBDECISION_MEMBERSHIP_FAILURE_DETECTOR_H_
#define LIBDECISION_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The members that a check of the failure detector found silent.
struct failure_check_result {
  /// Probe these directly before they count as dead.
  std::vector<node_id> to_probe;
  /// These did not respond to probes.
  std::vector<node_id> dead;
};

/// Detects dead members by the absence of their messages. Reports nothing while
/// several nodes are silent and none is heard from, because this node is then
/// likely to be isolated itself, or right after its own process was paused.
class failure_detector {
 public:
  static constexpr duration kHeartbeatInterval = std::chrono::seconds(1);

  /// Any message counts as a sign of life, not only heartbeats.
  void OnMessageFrom(instant now, node_id node);
  /// A node that was declared dead has announced that it is alive. Doubles its
  /// heartbeat timeout, up to a maximum.
  void OnRefuted(node_id node);
  /// Called once per heartbeat interval.
  failure_check_result FindFailures(event_context& context,
                                    const std::vector<node_id>& monitored);

 private:
  struct monitored_node {
    instant last_heard{};
    int probes = 0;
    /// Random addition to the timeout while several nodes are silent at once.
    duration extra_timeout{};
    std::uint32_t refutations = 0;
  };
  struct heartbeat_counts {
    std::size_t heard = 0;
    std::size_t silent = 0;
  };

  bool WasPaused(instant now);
  heartbeat_counts CountHeartbeats(instant now) const;
  void DiscardUnmonitored(instant now, const std::vector<node_id>& monitored);
  void CheckNode(event_context& context,
                 node_id node,
                 monitored_node& state,
                 const heartbeat_counts& counts,
                 failure_check_result& result);

  std::unordered_map<node_id, monitored_node> nodes_;
  instant last_check_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_FAILURE_DETECTOR_H_
