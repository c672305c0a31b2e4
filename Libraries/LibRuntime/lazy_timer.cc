#include "LibRuntime/lazy_timer.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

lazy_timer::lazy_timer(boost::asio::io_context& io,
                       std::function<void()> on_due)
    : timer_(io), on_due_(std::move(on_due)) {}

void lazy_timer::Schedule(clock::time_point when) {
  due_ = when;
  if (when < os_timer_due_) {
    SetOsTimer(when);
  }
}

void lazy_timer::ScheduleNoLaterThan(clock::time_point when) {
  Schedule(std::min(when, due_));
}

void lazy_timer::SetOsTimer(clock::time_point when) {
  os_timer_due_ = when;
  timer_.expires_at(when);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      OnOsTimerExpired();
    }
  });
}

void lazy_timer::OnOsTimerExpired() {
  os_timer_due_ = clock::time_point::max();
  if (due_ == clock::time_point::max()) {
    return;
  }
  if (clock::now() < due_) {
    return SetOsTimer(due_);
  }
  due_ = clock::time_point::max();
  on_due_();
}

}  // namespace auburnfold
