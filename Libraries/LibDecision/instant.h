#ifndef LIBDECISION_INSTANT_H_
#define LIBDECISION_INSTANT_H_

#include <chrono>

namespace auburnfold {

/// The clock of the times in events. The library itself never reads a clock.
struct event_clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<event_clock>;
  static constexpr bool is_steady = true;
};

/// A length of time in nanoseconds.
using duration = event_clock::duration;
/// A monotonic point in time; the embedder chooses the epoch.
using instant = event_clock::time_point;

}  // namespace auburnfold

#endif  // LIBDECISION_INSTANT_H_
