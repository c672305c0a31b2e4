#ifndef LIBRUNTIME_LAZY_TIMER_H_
#define LIBRUNTIME_LAZY_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace auburnfold {

/// A one-shot timer that is cheap to postpone. The operating system's timer is
/// set only for an earlier time, or again when it expires before the scheduled
/// time.
class lazy_timer {
 public:
  using clock = std::chrono::steady_clock;

  lazy_timer(boost::asio::io_context& io, std::function<void()> on_due);

  /// Calls `on_due` at `when` instead of at the time scheduled before.
  void Schedule(clock::time_point when);
  /// Schedules `when` unless an earlier time is scheduled already.
  void ScheduleNoLaterThan(clock::time_point when);

 private:
  void SetOsTimer(clock::time_point when);
  void OnOsTimerExpired();

  boost::asio::steady_timer timer_;
  std::function<void()> on_due_;
  clock::time_point due_ = clock::time_point::max();
  clock::time_point os_timer_due_ = clock::time_point::max();
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_LAZY_TIMER_H_
