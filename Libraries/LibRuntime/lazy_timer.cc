#include "LibRuntime/lazy_timer.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

lazy_timer::lazy_timer(boost::asio::io_context& io,
                       std::function<void()> on_due)
    : timer_(io), on_due_(std::move(on_due)) {}

void lazy_timer::Schedule(clock::time_point when) {
  wanted_ = when;
  if (when < armed_) {
    Arm(when);
  }
}

void lazy_timer::ScheduleNoLaterThan(clock::time_point when) {
  Schedule(std::min(when, wanted_));
}

void lazy_timer::Arm(clock::time_point when) {
  armed_ = when;
  timer_.expires_at(when);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      OnExpired();
    }
  });
}

void lazy_timer::OnExpired() {
  armed_ = clock::time_point::max();
  if (wanted_ == clock::time_point::max()) {
    return;
  }
  if (clock::now() < wanted_) {
    return Arm(wanted_);
  }
  wanted_ = clock::time_point::max();
  on_due_();
}

}  // namespace auburnfold
