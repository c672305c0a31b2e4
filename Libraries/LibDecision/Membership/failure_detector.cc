#include "LibDecision/Membership/failure_detector.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kHeartbeatTimeout = milliseconds(3500);
// A node whose neighbours changed no longer sends heartbeats here. It counts as
// silent only for this long after its last heartbeat.
constexpr duration kSilentNodeRetention = seconds(12);
constexpr duration kPauseThreshold = milliseconds(2500);
constexpr duration kMaxExtraTimeout = seconds(30);
constexpr int kMaxProbes = 2;
constexpr std::size_t kMassSilenceThreshold = 2;
constexpr std::uint32_t kMaxTimeoutDoublings = 7;

}  // namespace

void failure_detector::OnMessageFrom(instant now, node_id node) {
  monitored_node& state = nodes_[node];
  state.last_heard = now;
  state.probes = 0;
  state.extra_timeout = {};
}

void failure_detector::OnRefuted(node_id node) {
  monitored_node& state = nodes_[node];
  state.refutations = std::min(state.refutations + 1, kMaxTimeoutDoublings);
}

failure_check_result failure_detector::FindFailures(
    event_context& context,
    const std::vector<node_id>& monitored) {
  failure_check_result result;
  for (const node_id& node : monitored) {
    nodes_.try_emplace(node, monitored_node{.last_heard = context.now()});
  }
  if (WasPaused(context.now())) {
    for (auto& [node, state] : nodes_) {
      state.last_heard = context.now();
      state.probes = 0;
    }
    return result;
  }
  const heartbeat_counts counts = CountHeartbeats(context.now());
  const bool is_isolated =
      counts.heard == 0 && counts.silent >= kMassSilenceThreshold;
  if (!is_isolated) {
    for (const node_id& node : monitored) {
      CheckNode(context, node, nodes_.at(node), counts, result);
    }
  }
  DiscardUnmonitored(context.now(), monitored);
  return result;
}

bool failure_detector::WasPaused(instant now) {
  const bool was_paused = now - last_check_ > kPauseThreshold;
  last_check_ = now;
  return was_paused;
}

failure_detector::heartbeat_counts failure_detector::CountHeartbeats(
    instant now) const {
  heartbeat_counts count;
  for (const auto& [node, state] : nodes_) {
    const duration silent_for = now - state.last_heard;
    if (silent_for < kHeartbeatTimeout) {
      ++count.heard;
    } else if (silent_for < kSilentNodeRetention) {
      ++count.silent;
    }
  }
  return count;
}

void failure_detector::DiscardUnmonitored(
    instant now,
    const std::vector<node_id>& monitored) {
  std::erase_if(nodes_, [&](const auto& entry) {
    const bool is_monitored = std::find(monitored.begin(), monitored.end(),
                                        entry.first) != monitored.end();
    const duration retention =
        kSilentNodeRetention * (1U << entry.second.refutations);
    return !is_monitored && now - entry.second.last_heard > retention;
  });
}

// When several nodes are silent at once, each detector adds a random delay to
// its timeouts. This spreads the declarations over time, so that nodes learn of
// each other's declarations and keep to the failure budget, and a live node is
// not declared dead early because its neighbour on the ring is dead.
void failure_detector::CheckNode(event_context& context,
                                 node_id node,
                                 monitored_node& state,
                                 const heartbeat_counts& counts,
                                 failure_check_result& result) {
  const duration timeout =
      kHeartbeatTimeout * (1U << state.refutations) + state.extra_timeout;
  if (context.now() - state.last_heard < timeout) {
    return;
  }
  const bool is_mass_silence = counts.silent >= kMassSilenceThreshold;
  if (is_mass_silence && state.extra_timeout == duration()) {
    state.extra_timeout = std::chrono::duration_cast<duration>(
        kMaxExtraTimeout * context.RandomFraction());
    return;
  }
  if (state.probes < kMaxProbes) {
    ++state.probes;
    result.to_probe.push_back(node);
    return;
  }
  result.dead.push_back(node);
}

}  // namespace auburnfold
