#ifndef LIBRUNTIME_LAZY_TIMER_H_
#define LIBRUNTIME_LAZY_TIMER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace auburnfold {

/// Calls back once the wanted instant has come. Wanting a later instant costs
/// nothing: the operating system's timer is set only for an earlier one, or
/// when it has run out.
class lazy_timer {
 public:
  using clock = std::chrono::steady_clock;

  lazy_timer(boost::asio::io_context& io, std::function<void()> on_due);

  /// Replaces the instant that was wanted before.
  void Schedule(clock::time_point when);
  /// Wants `when` unless something earlier is wanted already.
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
