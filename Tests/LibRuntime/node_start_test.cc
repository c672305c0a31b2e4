#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <string>

#include "LibRuntime/node_runtime.h"
#include "running_node.h"

namespace auburnfold::testing_support {
namespace {

// The key of the port that could not be listened at; empty after a start.
std::string StartWith(const node_settings& settings) {
  boost::asio::io_context io;
  node_runtime node(io, settings);
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(node.Start());
        return std::string();
      },
      [](const listen_error& error) { return error.key; },
      [] { return std::string("another error"); });
}

TEST(a_node, DoesNotStartWithoutEachOfItsPorts) {
  const running_node first;
  node_settings settings = LoopbackSettings();
  settings.call_port = first.call_port();
  EXPECT_EQ(StartWith(settings), "call_port");
  settings = LoopbackSettings();
  settings.peer_port = first.peer_port();
  EXPECT_EQ(StartWith(settings), "peer_port");
  settings = LoopbackSettings();
  settings.admin_port = first.admin_port();
  EXPECT_EQ(StartWith(settings), "admin_port");
  settings = LoopbackSettings();
  settings.control_port = first.control_port();
  EXPECT_EQ(StartWith(settings), "control_port");
}

TEST(a_node, DoesNotStartAtAnAddressOfAnotherMachine) {
  node_settings settings = LoopbackSettings();
  settings.host = "192.0.2.1";
  EXPECT_EQ(StartWith(settings), "call_port");
}

TEST(a_node, StartsWithAnyFreePorts) {
  EXPECT_EQ(StartWith(LoopbackSettings()), "");
}

}  // namespace
}  // namespace auburnfold::testing_support
