#include <gtest/gtest.h>

#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// A node whose event loop is behind: requests arrive, and their callers leave,
// before it reads them.
class a_node_that_reads_late : public testing::Test {
 protected:
  a_node_that_reads_late() { node_.Announce("listings", endpoint_.port()); }

  void SendAndLeave(std::uint16_t port, const std::string& request) {
    raw_client client(port);
    client.Write(request);
    client.CloseAndWaitUntilReceived();
  }

  scripted_server endpoint_{AnswersWith("whole")};
  running_node node_;
};

class a_caller_that_leaves_unread : public a_node_that_reads_late {};

TEST_F(a_caller_that_leaves_unread, DoesNotHaveItsRequestForwarded) {
  node_.Pause();
  SendAndLeave(node_.call_port(), CallText("listings"));
  node_.Resume();
  raw_client::Exchange(node_.call_port(), CallText("listings"));
  EXPECT_EQ(node_.Metric("auburnfold_attempts_total"), 1);
}

class a_forwarding_node_that_leaves_unread : public a_node_that_reads_late {};

TEST_F(a_forwarding_node_that_leaves_unread, DoesNotHaveItsRequestExecuted) {
  const std::string request = CallText("listings", node_.ForwardedHeaders());
  node_.Pause();
  SendAndLeave(node_.peer_port(), request);
  node_.Resume();
  raw_client::Exchange(node_.peer_port(), request);
  EXPECT_EQ(
      node_.Metric("auburnfold_queue_wait_seconds_count{class=\"lookup\"}"), 1);
}

}  // namespace
}  // namespace auburnfold::testing_support
