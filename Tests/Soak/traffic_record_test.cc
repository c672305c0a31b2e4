#include "traffic_record.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>

namespace auburnfold::soak {
namespace {

/// A record of a few requests to node 1, which endpoints beside nodes 1 and 2
/// run.
class a_traffic_record : public testing::Test {
 protected:
  void Send(const std::string& id, bool may_repeat = false) {
    record_.OnSent({.id = id,
                    .method = "GET",
                    .target = "/" + id,
                    .may_repeat = may_repeat,
                    .node = 1});
  }
  std::size_t Run(const std::string& id, std::size_t endpoint = 2) {
    return record_.OnRun(endpoint, id, "GET", "/" + id, true);
  }
  bool Finds(rule broken) const {
    const auto findings = record_.Judge();
    return std::any_of(
        findings.begin(), findings.end(),
        [broken](const finding& each) { return each.broken == broken; });
  }
  void LoseAfterRun(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "lost-" + std::to_string(i);
      Send(id);
      Run(id);
      record_.OnEnded(id, request_end::kClosed);
    }
  }

  std::ostringstream log_;
  traffic_record record_{log_};
};

TEST_F(a_traffic_record, FindsNothingInSoundTraffic) {
  Send("a");
  Run("a");
  record_.OnAnswered("a", 200, {});
  Send("b");
  record_.OnAnswered("b", 503, {});
  Send("c", true);
  Run("c");
  Run("c");
  record_.OnAnswered("c", 200, {});
  EXPECT_TRUE(record_.Judge().empty());
}

TEST_F(a_traffic_record, FindsARequestThatRanTwice) {
  Send("a");
  Run("a");
  Run("a");
  EXPECT_TRUE(Finds(rule::kTwice));
}

TEST_F(a_traffic_record, FindsARefusedRequestThatRanLater) {
  Send("a");
  record_.OnAnswered("a", 503, {});
  Run("a");
  EXPECT_TRUE(Finds(rule::kRefused));
}

TEST_F(a_traffic_record, FindsAWrongAnswer) {
  Send("a");
  record_.OnAnswered("a", 200, "the answer to b");
  EXPECT_TRUE(Finds(rule::kMixed));
}

TEST_F(a_traffic_record, FindsWhatNoClientSent) {
  Run("a");
  EXPECT_TRUE(Finds(rule::kUnasked));
}

TEST_F(a_traffic_record, FindsAChangedRequest) {
  Send("a");
  record_.OnRun(2, "a", "HET", "/a", true);
  EXPECT_TRUE(Finds(rule::kUnasked));
}

TEST_F(a_traffic_record, FindsAChangedBody) {
  Send("a");
  record_.OnRun(2, "a", "GET", "/a", false);
  EXPECT_TRUE(Finds(rule::kUnasked));
}

TEST_F(a_traffic_record, FindsMoreThanThreeLostRequests) {
  LoseAfterRun(3);
  EXPECT_FALSE(Finds(rule::kLost));
  LoseAfterRun(4);
  EXPECT_TRUE(Finds(rule::kLost));
}

TEST_F(a_traffic_record, FindsOneLostInAStop) {
  record_.OnDisrupted(1, disruption_kind::kPlanned, "test");
  LoseAfterRun(1);
  EXPECT_TRUE(Finds(rule::kLost));
}

TEST_F(a_traffic_record, ExcusesWhatIsLostWithAKilledNode) {
  record_.OnDisrupted(1, disruption_kind::kUnplanned, "test");
  LoseAfterRun(9);
  EXPECT_FALSE(Finds(rule::kLost));
}

TEST_F(a_traffic_record, ExcusesWhatWasNotPassedOnOrWasGivenUp) {
  for (int i = 0; i < 9; ++i) {
    const std::string crossed = "crossed-" + std::to_string(i);
    Send(crossed);
    record_.OnEnded(crossed, request_end::kClosed);
    const std::string left = "left-" + std::to_string(i);
    Send(left);
    Run(left);
    record_.OnEnded(left, request_end::kLeft);
  }
  EXPECT_FALSE(Finds(rule::kLost));
}

TEST_F(a_traffic_record, ExcusesWhatTheEndpointBrokeOff) {
  for (int i = 0; i < 9; ++i) {
    const std::string id = std::to_string(i);
    Send(id);
    record_.OnBrokenOff(Run(id));
    record_.OnEnded(id, request_end::kClosed);
  }
  EXPECT_FALSE(Finds(rule::kLost));
}

TEST_F(a_traffic_record, FindsManyDenials) {
  for (int i = 0; i < 7; ++i) {
    const std::string id = std::to_string(i);
    Send(id);
    record_.OnAnswered(id, 400, {});
  }
  EXPECT_TRUE(Finds(rule::kDenied));
}

class a_leave : public a_traffic_record {
 protected:
  void RunAfter(std::chrono::milliseconds since_leave) {
    record_.OnLeaveAcknowledged(2, soak_clock::now() - since_leave);
    Send("a");
    Run("a");
  }
};

TEST_F(a_leave, ExcusesARunJustBehindIt) {
  RunAfter(std::chrono::milliseconds(2000));
  EXPECT_FALSE(Finds(rule::kDrain));
}

TEST_F(a_leave, FindsALaterRun) {
  RunAfter(std::chrono::milliseconds(2600));
  EXPECT_TRUE(Finds(rule::kDrain));
}

TEST_F(a_leave, ExcusesALaterRunWhileANodeOnTheWayIsDisturbed) {
  record_.OnDisruptionEnded(
      record_.OnDisrupted(2, disruption_kind::kUnplanned, "test"));
  RunAfter(std::chrono::milliseconds(2600));
  EXPECT_FALSE(Finds(rule::kDrain));
}

TEST_F(a_leave, EndsWithTheNextRunOfTheEndpoint) {
  record_.OnLeaveAcknowledged(2, soak_clock::now() - std::chrono::seconds(9));
  record_.OnEndpointStarted(2);
  Send("a");
  Run("a");
  EXPECT_FALSE(Finds(rule::kDrain));
}

}  // namespace
}  // namespace auburnfold::soak
