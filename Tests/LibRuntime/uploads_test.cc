#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibRuntime/Connections/http_types.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

constexpr std::size_t kUploadsInMemory = kMaxRequestMemoryBytes / kMaxBodyBytes;

/// Uploads of the maximum size whose bodies have not come yet.
class uploads_at_once : public testing::Test {
 protected:
  uploads_at_once() { node_.Announce("listings", endpoint_.port()); }

  std::unique_ptr<raw_client> Begin(const std::string& first_bytes = {}) {
    auto client = std::make_unique<raw_client>(node_.call_port());
    client->Write("POST /upload HTTP/1.1\r\nHost: test\r\nContent-Length: " +
                  std::to_string(kMaxBodyBytes) + "\r\n\r\n" + first_bytes);
    return client;
  }

  /// Begins as many as there is memory for, and waits until all are known.
  void FillMemory() {
    for (std::size_t i = 0; i < kUploadsInMemory; ++i) {
      uploads_.push_back(Begin("x"));
      uploads_.back()->WaitUntilReceived();
    }
    // The node handles connections in turn, so it has read all others now.
    raw_client::Exchange(node_.call_port(), CallText("listings"));
  }

  scripted_server endpoint_{AnswersWith("whole")};
  running_node node_;
  std::vector<std::unique_ptr<raw_client>> uploads_;
};

TEST_F(uploads_at_once, AreRefusedAsNotExecutedWhenMemoryIsUsedUp) {
  FillMemory();
  const std::optional<read_answer> answer = Begin()->Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 503);
  EXPECT_EQ(answer->Header("Auburnfold-Result"), "overloaded");
  EXPECT_EQ(answer->Header("Auburnfold-Ran"), "not-run");
}

TEST_F(uploads_at_once, LeaveRoomForRequestsWithoutABody) {
  FillMemory();
  EXPECT_EQ(
      raw_client::Exchange(node_.call_port(), CallText("listings")).status,
      200);
}

// The answer was read whole, and cannot be kept until its caller has taken it.
TEST_F(uploads_at_once, LeaveNoRoomForALargeAnswer) {
  scripted_server large(AnswersWith(std::string(kMaxHeaderBytes + 1, 'x')));
  node_.Announce("listings", large.port());
  FillMemory();
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("listings"));
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "answer-too-large");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "ran");
}

TEST_F(uploads_at_once, GiveTheirMemoryBackWhenTheirSendersLeave) {
  FillMemory();
  for (const std::unique_ptr<raw_client>& upload : uploads_) {
    upload->CloseAndWaitUntilReceived();
  }
  raw_client::Exchange(node_.call_port(), CallText("listings"));
  const std::string body(kMaxBodyBytes, 'x');
  EXPECT_EQ(
      raw_client::Exchange(node_.call_port(), CallText("listings", {}, body))
          .status,
      200);
}

// A node that did not count what it has answered would refuse the last ones.
TEST_F(uploads_at_once, MayFollowEachOther) {
  const std::string body(kMaxBodyBytes, 'x');
  for (std::size_t i = 0; i < kUploadsInMemory + 4; ++i) {
    ASSERT_EQ(
        raw_client::Exchange(node_.call_port(), CallText("listings", {}, body))
            .status,
        200)
        << "upload " << i;
  }
}

}  // namespace
}  // namespace auburnfold::testing_support
