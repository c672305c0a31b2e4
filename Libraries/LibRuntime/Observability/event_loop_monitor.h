#ifndef LIBRUNTIME_OBSERVABILITY_EVENT_LOOP_MONITOR_H_
#define LIBRUNTIME_OBSERVABILITY_EVENT_LOOP_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace auburnfold {

/// Measures how late the event loop handles what is ready: a due timer waits
/// in the same queue as bytes that have arrived.
class event_loop_monitor {
 public:
  using clock = std::chrono::steady_clock;
  using delay_handler = std::function<void(clock::duration)>;

  static constexpr std::chrono::milliseconds kInterval{100};

  /// Calls `on_measured` with the delay of the loop about every `kInterval`.
  event_loop_monitor(boost::asio::io_context& io, delay_handler on_measured);

  void Start();
  void Stop();

 private:
  boost::asio::steady_timer timer_;
  delay_handler on_measured_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_OBSERVABILITY_EVENT_LOOP_MONITOR_H_
