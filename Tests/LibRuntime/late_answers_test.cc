#include <gtest/gtest.h>

#include <future>
#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// The answer comes when new calls are refused already, so the node ends as soon
// as it has passed it on.
class the_last_answer_of_a_stop : public testing::Test {
 protected:
  the_last_answer_of_a_stop() {
    node_.Announce("listings", endpoint_.port());
    caller_.Write(CallText("listings"));
    asked_.get_future().wait();
    node_.Stop();
    while (raw_client::Exchange(node_.peer_port(),
                                CallText("unoffered", node_.ForwardedHeaders()))
               .Header("Auburnfold-Result") != "node-stopping") {
    }
  }

  void EndWith(std::size_t bytes) {
    size_.set_value(bytes);
    EXPECT_EQ(node_.WaitUntilStopped(), 0U);
  }

  void ExpectWhole(std::size_t bytes) {
    const auto answer = caller_.Read();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200U);
    EXPECT_EQ(answer->body.size(), bytes);
  }

  std::promise<void> asked_;
  std::promise<std::size_t> size_;
  scripted_server endpoint_{[this](scripted_connection& connection) {
    connection.ReadRequest();
    asked_.set_value();
    connection.Write(AnswerText(std::string(size_.get_future().get(), 'x')));
  }};
  running_node node_;
  raw_client caller_{node_.call_port()};
};

TEST_F(the_last_answer_of_a_stop, IsWholeIfItsCallerReadsLate) {
  EndWith(60'000);
  ExpectWhole(60'000);
}

TEST_F(the_last_answer_of_a_stop, IsWholeIfUnreadRequestsStandBehindIt) {
  caller_.Write(CallText("listings") + CallText("listings"));
  caller_.WaitUntilReceived();
  EndWith(9'000);
  ExpectWhole(9'000);
}

}  // namespace
}  // namespace auburnfold::testing_support
