#include "LibDecision/Membership/failure_detector.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration kSilenceLimit = milliseconds(3500);
// Nodes that stop sending because their neighbours changed count as silent
// only for so long.
constexpr duration kMemory = seconds(12);
constexpr duration kPauseLimit = milliseconds(2500);
constexpr duration kLongestExtraPatience = seconds(30);
constexpr int kProbes = 2;
constexpr std::size_t kManySilent = 2;
constexpr std::uint32_t kMostDoublings = 7;

}  // namespace

void failure_detector::OnHeard(instant now, node_id node) {
  watched_node& state = nodes_[node];
  state.heard = now;
  state.probes = 0;
  state.extra_patience = {};
}

void failure_detector::OnRefuted(node_id node) {
  watched_node& state = nodes_[node];
  state.refutations = std::min(state.refutations + 1, kMostDoublings);
}

silence_report failure_detector::Check(event_context& context,
                                       const std::vector<node_id>& watched) {
  silence_report report;
  for (const node_id& node : watched) {
    nodes_.try_emplace(node, watched_node{.heard = context.now()});
  }
  if (WasPaused(context.now())) {
    for (auto& [node, state] : nodes_) {
      state.heard = context.now();
      state.probes = 0;
    }
    return report;
  }
  const silence_count around = CountSilent(context.now());
  const bool is_cut_off = around.heard == 0 && around.silent >= kManySilent;
  if (!is_cut_off) {
    for (const node_id& node : watched) {
      Judge(context, node, nodes_.at(node), around, report);
    }
  }
  ForgetOld(context.now(), watched);
  return report;
}

bool failure_detector::WasPaused(instant now) {
  const bool was_paused = now - checked_ > kPauseLimit;
  checked_ = now;
  return was_paused;
}

failure_detector::silence_count failure_detector::CountSilent(
    instant now) const {
  silence_count count;
  for (const auto& [node, state] : nodes_) {
    const duration silence = now - state.heard;
    if (silence < kSilenceLimit) {
      ++count.heard;
    } else if (silence < kMemory) {
      ++count.silent;
    }
  }
  return count;
}

void failure_detector::ForgetOld(instant now,
                                 const std::vector<node_id>& watched) {
  std::erase_if(nodes_, [&](const auto& entry) {
    const bool is_watched =
        std::find(watched.begin(), watched.end(), entry.first) != watched.end();
    const duration memory = kMemory * (1U << entry.second.refutations);
    return !is_watched && now - entry.second.heard > memory;
  });
}

// A node beside a dead one must not be hurried by it: when several are silent
// at once, the judges spread their verdicts over time, so that each hears of
// the others' and the bound on losses holds.
void failure_detector::Judge(event_context& context,
                             node_id node,
                             watched_node& state,
                             const silence_count& around,
                             silence_report& report) {
  const duration patience =
      kSilenceLimit * (1U << state.refutations) + state.extra_patience;
  if (context.now() - state.heard < patience) {
    return;
  }
  const bool are_many_silent = around.silent >= kManySilent;
  if (are_many_silent && state.extra_patience == duration()) {
    state.extra_patience = std::chrono::duration_cast<duration>(
        kLongestExtraPatience * context.RandomFraction());
    return;
  }
  if (state.probes < kProbes) {
    ++state.probes;
    report.to_probe.push_back(node);
    return;
  }
  report.dead.push_back(node);
}

}  // namespace auburnfold
