#include "LibDecision/Admission/queue_wait.h"

#include <algorithm>

namespace auburnfold {

namespace {

/// A root call waits for at most its latency objective divided by this.
constexpr int kRootWaitDivisor = 8;
/// The same for a child call of work that has already started.
constexpr int kChildWaitDivisor = 2;
/// With planned capacity, a child call waits for at most the time until its
/// deadline divided by this. The rest is for running it.
constexpr int kPlannedChildWaitDivisor = 2;
/// Child calls of running trees start before root calls, which have lost
/// nothing yet. Root calls still get a part, so that they are not starved.
constexpr std::uint32_t kChildWeightFactor = 4;

}  // namespace

// A root call waits only briefly, so that a refused caller learns soon that it
// has to retry. Refusing a child call loses the work already done for its
// request, so child calls may wait longer. Without a latency objective, the
// `queue_limit` of the table row bounds the wait.
duration MaxQueueWait(const request_metadata& metadata,
                      const row_settings& settings,
                      bool is_capacity_planned) {
  const bool is_child = metadata.depth > 0;
  const bool has_objective = metadata.objective > duration::zero();
  const duration child_wait = has_objective
                                  ? metadata.objective / kChildWaitDivisor
                                  : settings.queue_limit;
  if (is_child) {
    return is_capacity_planned
               ? std::max(child_wait,
                          metadata.time_left / kPlannedChildWaitDivisor)
               : child_wait;
  }
  return has_objective ? metadata.objective / kRootWaitDivisor
                       : settings.queue_limit;
}

std::uint32_t QueueWeight(const request_metadata& metadata,
                          const row_settings& settings,
                          bool is_capacity_planned) {
  const bool is_preferred = is_capacity_planned && metadata.depth > 0;
  return is_preferred ? settings.weight * kChildWeightFactor : settings.weight;
}

// Earlier calls of the tree have run for nothing if a later one is refused, so
// later calls go before first ones. Roots of one rank stay in order.
rank QueueRank(const request_metadata& metadata,
               rank request_rank,
               bool is_capacity_planned) {
  if (!is_capacity_planned) {
    return request_rank;
  }
  const std::uint32_t within = request_rank.within_priority();
  const std::uint32_t first_rank = request_rank.value - within;
  const std::uint32_t lead =
      metadata.answered_siblings > 0 ? kRanksPerPriority / 2 : 0;
  return {static_cast<std::uint16_t>(first_rank + lead + within / 2)};
}

}  // namespace auburnfold
