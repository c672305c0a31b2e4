#include "LibRuntime/http_listener.h"

#include <gtest/gtest.h>

#include <list>

#include "raw_client.h"

namespace auburnfold {
namespace {

using testing_support::raw_client;

class a_listener : public testing::Test {
 protected:
  a_listener() { EXPECT_FALSE(listener_.Listen("127.0.0.1", 0)); }

  asio::io_context io_{1};
  node_metrics metrics_{1};
  session_handlers handlers_;
  http_listener listener_{io_, handlers_, metrics_};
};

// With one connection accepted for each handler that runs, connections of a
// busy node waited in the accept queue until their callers had left.
TEST_F(a_listener, AcceptsAllConnectionsThatWaitInOneTurn) {
  constexpr std::size_t kWaiting = 20;
  std::list<raw_client> clients;
  for (std::size_t i = 0; i < kWaiting; ++i) {
    clients.emplace_back(listener_.port());
  }
  io_.run_one();
  EXPECT_EQ(listener_.session_count(), kWaiting);
}

}  // namespace
}  // namespace auburnfold
