#include <gtest/gtest.h>

#include <future>
#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// A node with one request running at an endpoint that waits for a sign.
class a_node_that_stops : public testing::Test {
 protected:
  explicit a_node_that_stops(const node_settings& settings = LoopbackSettings())
      : node_(settings), caller_(node_.call_port()) {
    node_.Announce("listings", endpoint_.port());
    caller_.Write(CallText("listings"));
    asked_.get_future().wait();
  }
  ~a_node_that_stops() override { AnswerNow(); }

  void AnswerNow() {
    if (!is_signed_) {
      is_signed_ = true;
      sign_.set_value();
    }
  }

  void BeginStop() {
    node_.Stop();
    while (
        raw_client::Exchange(node_.admin_port(), "GET /readyz HTTP/1.1\r\n\r\n")
            .status != 503) {
    }
  }

  std::promise<void> asked_;
  std::promise<void> sign_;
  bool is_signed_ = false;
  scripted_server endpoint_{[this](scripted_connection& connection) {
    connection.ReadRequest();
    asked_.set_value();
    sign_.get_future().wait();
    connection.Write(AnswerText("finished"));
  }};
  running_node node_;
  raw_client caller_;
};

TEST_F(a_node_that_stops, FinishesWhatRunsAndClosesItsConnection) {
  BeginStop();
  AnswerNow();
  const auto answer = caller_.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->Header("Auburnfold-Result"), "complete");
  EXPECT_EQ(answer->body, "finished");
  EXPECT_EQ(answer->Header("Connection"), "close");
  EXPECT_EQ(node_.WaitUntilStopped(), 0U);
}

TEST_F(a_node_that_stops, IsAliveButNotReadyMeanwhile) {
  BeginStop();
  EXPECT_EQ(
      raw_client::Exchange(node_.admin_port(), "GET /healthz HTTP/1.1\r\n\r\n")
          .status,
      200U);
}

// Until callers can know of the stop, a service that is not offered here is
// told apart from the stop itself.
TEST_F(a_node_that_stops, RefusesForwardedRequestsAsNotRunOnceCallersKnow) {
  BeginStop();
  read_answer answer;
  do {
    answer = raw_client::Exchange(
        node_.peer_port(), CallText("unoffered", node_.ForwardedHeaders()));
  } while (answer.Header("Auburnfold-Result") == "no-endpoint");
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "node-stopping");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "not-run");
  EXPECT_EQ(answer.Header("Connection"), "close");
}

node_settings WithoutPatience() {
  node_settings settings = LoopbackSettings();
  settings.stop_limit = std::chrono::milliseconds(0);
  return settings;
}

class a_node_that_stops_without_patience : public a_node_that_stops {
 protected:
  a_node_that_stops_without_patience() : a_node_that_stops(WithoutPatience()) {}
};

TEST_F(a_node_that_stops_without_patience, SaysWhatItCut) {
  node_.Stop();
  // The call and its work at the endpoint.
  EXPECT_EQ(node_.WaitUntilStopped(), 2U);
}

}  // namespace
}  // namespace auburnfold::testing_support
