#include "LibRuntime/Observability/event_loop_monitor.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <optional>

#include "running_node.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;
using testing_support::running_node;

class an_event_loop : public testing::Test {
 protected:
  using clock = event_loop_monitor::clock;

  an_event_loop()
      : monitor_(io_, [this](clock::duration delay) {
          measured_ = delay;
          monitor_.Stop();
          io_.stop();
        }) {}

  boost::asio::io_context io_{1};
  std::optional<clock::duration> measured_;
  event_loop_monitor monitor_;
};

TEST_F(an_event_loop, IsMeasuredAsLateByHowLongAHandlerOccupiesIt) {
  constexpr auto kOverrun = 20ms;
  monitor_.Start();
  const auto busy_until =
      clock::now() + event_loop_monitor::kInterval + kOverrun;
  boost::asio::post(io_, [busy_until] {
    while (clock::now() < busy_until) {
    }
  });
  io_.run();
  ASSERT_TRUE(measured_);
  EXPECT_GE(*measured_, kOverrun);
}

TEST_F(an_event_loop, OfANodeIsExportedAsAMetric) {
  const running_node node;
  node.WaitForMetric("auburnfold_loop_delay_seconds_count", 1);
}

}  // namespace
}  // namespace auburnfold
