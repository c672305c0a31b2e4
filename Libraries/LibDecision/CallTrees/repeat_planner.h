#ifndef LIBDECISION_CALLTREES_REPEAT_PLANNER_H_
#define LIBDECISION_CALLTREES_REPEAT_PLANNER_H_

#include <array>
#include <cstdint>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// Determines which call trees can finish their calls to one service with the
/// repeats that its retry budget allows.
///
/// Load pattern: for some seconds, the endpoints of a service refuse a large
/// share of what arrives, although they have capacity. Every call needs repeats
/// then. If all trees compete for them, most trees fail at a later call, and
/// the repeats that their earlier calls took are lost with them.
class repeat_planner {
 public:
  /// An attempt at an endpoint ended.
  void OnAttemptEnded(instant now, const outcome& result);
  /// A tree that makes about `calls` calls made its first one. `repeat_rate` is
  /// the number of repeats a second that the retry budget allows.
  void OnTree(instant now, rank root_rank, double calls, double repeat_rate);

  /// Share of the attempts that endpoints refused recently.
  double refused_share(instant now) const;
  /// Trees below this rank lack the repeats for `calls` calls and will probably
  /// fail; 0 if all trees may be started.
  std::uint16_t LevelFor(instant now, double calls) const;

 private:
  static constexpr std::size_t kPriorities = kHighestPriority + 1;

  void AdvanceTo(instant now, double repeat_rate);
  void UpdateLevel(instant now, double repeat_rate);

  double refused_share_ = 0;
  instant attempt_ended_at_{};
  instant window_start_{};
  std::uint16_t level_ = 0;
  /// Calls that the trees of the current window will make, by priority.
  std::array<double, kPriorities> arrivals_{};
  /// Calls per second that trees would make if none were refused.
  std::array<double, kPriorities> rate_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLTREES_REPEAT_PLANNER_H_
