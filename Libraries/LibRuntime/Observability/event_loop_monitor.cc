#include "LibRuntime/Observability/event_loop_monitor.h"

#include <utility>

namespace auburnfold {

event_loop_monitor::event_loop_monitor(boost::asio::io_context& io,
                                       delay_handler on_measured)
    : timer_(io), on_measured_(std::move(on_measured)) {}

void event_loop_monitor::Start() {
  timer_.expires_after(kInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error) {
      return;
    }
    on_measured_(clock::now() - timer_.expiry());
    Start();
  });
}

void event_loop_monitor::Stop() {
  timer_.cancel();
}

}  // namespace auburnfold
