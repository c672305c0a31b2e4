#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// A node whose endpoint reads a request and then ends, or only closes the
// connection.
class an_endpoint_that : public testing::Test {
 protected:
  read_answer CallUntilItEnds() {
    std::promise<void> read;
    endpoint_ = std::make_unique<scripted_server>(
        [&read, is_first = true](scripted_connection& connection) mutable {
          connection.ReadRequest();
          if (std::exchange(is_first, false)) {
            read.set_value();
          }
          connection.ReadRequest();
        });
    node_.Announce("listings", endpoint_->port());
    auto answer = std::async(std::launch::async, [this] {
      return raw_client::Exchange(node_.call_port(), CallText("listings"));
    });
    read.get_future().wait();
    endpoint_.reset();
    return answer.get();
  }

  double Crashes() const {
    return node_.Metric("auburnfold_endpoint_crashes_total");
  }

  running_node node_;
  std::unique_ptr<scripted_server> endpoint_;
};

TEST_F(an_endpoint_that, CrashesIsToldFromALostAnswer) {
  const read_answer answer = CallUntilItEnds();
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "endpoint-crashed");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
  EXPECT_EQ(Crashes(), 1);
}

TEST_F(an_endpoint_that, ClosesOneConnectionHasNotCrashed) {
  endpoint_ = std::make_unique<scripted_server>(
      [](scripted_connection& connection) { connection.ReadRequest(); });
  node_.Announce("listings", endpoint_->port());
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("listings"));
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "answer-lost");
  EXPECT_EQ(Crashes(), 0);
}

TEST_F(an_endpoint_that, CutsItsAnswerHasNotCrashed) {
  endpoint_ =
      std::make_unique<scripted_server>([](scripted_connection& connection) {
        connection.ReadRequest();
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf");
      });
  node_.Announce("listings", endpoint_->port());
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("listings"));
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "answer-truncated");
  EXPECT_EQ(Crashes(), 0);
}

}  // namespace
}  // namespace auburnfold::testing_support
