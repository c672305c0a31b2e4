#include <gtest/gtest.h>

#include <atomic>
#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

class an_idempotency_key : public testing::Test {
 protected:
  an_idempotency_key() { node_.Announce("bookings", endpoint_.port()); }

  read_answer Obtain() {
    std::string text = CallText("bookings");
    const std::string call = "POST /call";
    return raw_client::Exchange(
        node_.call_port(),
        text.replace(0, call.size(), "POST /auburnfold/v1/keys"));
  }

  read_answer BookWith(const std::string& key) {
    return raw_client::Exchange(
        node_.call_port(),
        CallText("bookings", "Idempotency-Key: " + key + "\r\n"));
  }

  std::atomic<int> runs_ = 0;
  scripted_server endpoint_{[this](scripted_connection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(
          AnswerText("booking " + std::to_string(++runs_), "X-Own: kept\r\n"));
    }
  }};
  running_node node_;
};

TEST_F(an_idempotency_key, IsIssuedWithoutARunAtTheEndpoint) {
  const read_answer answer = Obtain();
  EXPECT_EQ(answer.status, 201U);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "complete");
  EXPECT_EQ(answer.Header("Idempotency-Key"), answer.body);
  EXPECT_FALSE(answer.body.empty());
  EXPECT_EQ(runs_, 0);
}

TEST_F(an_idempotency_key, GetsTheFirstAnswerAgainAtEachResend) {
  const std::string key = Obtain().body;
  for (int i = 0; i < 3; ++i) {
    const read_answer answer = BookWith(key);
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.Header("Auburnfold-Result"), "complete");
    EXPECT_EQ(answer.Header("X-Own"), "kept");
    EXPECT_EQ(answer.body, "booking 1");
  }
  EXPECT_EQ(runs_, 1);
}

TEST_F(an_idempotency_key, ThatNobodyIssuedRunsNothing) {
  const read_answer answer = BookWith("made-up");
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "key-not-issued");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "not-run");
  EXPECT_EQ(runs_, 0);
}

}  // namespace
}  // namespace auburnfold::testing_support
