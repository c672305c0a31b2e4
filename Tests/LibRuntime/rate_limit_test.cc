#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// Two nodes whose callers use one endpoint, which stands beside the first node
// and names a rate limit in each answer.
class an_endpoint_that_names_a_rate_limit : public testing::Test {
 protected:
  static constexpr double kRate = 2;

  an_endpoint_that_names_a_rate_limit()
      : endpoint_([this](scripted_connection& connection) {
          while (connection.ReadRequest()) {
            ++arrivals_;
            connection.Write(AnswerText(
                "lots",
                "Auburnfold-Rate-Limit: " + std::to_string(kRate) + "\r\n"));
          }
        }) {
    own_.Announce("listings", endpoint_.port());
    other_.AnnouncePeer("listings", own_.peer_port(), own_.run());
  }

  running_node own_;
  running_node other_;
  std::atomic<int> arrivals_ = 0;
  scripted_server endpoint_;
};

TEST_F(an_endpoint_that_names_a_rate_limit, GetsNoMoreThanThatFromAllNodes) {
  using clock = std::chrono::steady_clock;
  const clock::time_point start = clock::now();
  int refused = 0;
  for (int i = 0; i < 100; ++i) {
    running_node& entry = i % 2 == 0 ? own_ : other_;
    const read_answer answer =
        raw_client::Exchange(entry.call_port(), CallText("listings"));
    if (answer.status == 200) {
      continue;
    }
    ++refused;
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(answer.Header("Auburnfold-Ran"), "not-run");
    EXPECT_FALSE(answer.Header("Retry-After").empty());
  }
  const double seconds =
      std::chrono::duration<double>(clock::now() - start).count();
  EXPECT_LE(arrivals_, 1.5 * kRate * seconds + 5);
  EXPECT_EQ(arrivals_, 100 - refused);
}

}  // namespace
}  // namespace auburnfold::testing_support
