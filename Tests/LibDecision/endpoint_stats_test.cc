#include "LibDecision/Routing/endpoint_stats.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class what_a_caller_knows_of_an_endpoint : public testing::Test {
 protected:
  void Finish(const std::optional<endpoint_notice>& notice,
              bool carried_notice = false,
              std::optional<error_kind> error = std::nullopt) {
    outcome result{.error = error};
    result.peer.emplace();
    result.peer->notice = notice;
    stats_.OnSent(now_);
    stats_.OnFinished(now_, result, 10ms, carried_notice);
  }

  static endpoint_notice Leaving(std::uint64_t run) {
    return {.endpoint = endpoint_name("i-1"),
            .run = incarnation(run),
            .is_leaving = true};
  }

  static endpoint_notice Limited(std::uint64_t run, double rate) {
    return {.endpoint = endpoint_name("i-1"),
            .run = incarnation(run),
            .rate_limit = request_rate(rate)};
  }

  endpoint_stats stats_;
  instant now_ = instant() + 1s;
};

TEST_F(what_a_caller_knows_of_an_endpoint, IsNotEndedByAnOvertakenAnswer) {
  Finish(Limited(5, 30));
  Finish(std::nullopt, false);
  EXPECT_EQ(stats_.notice(), Limited(5, 30));
  Finish(std::nullopt, true);
  EXPECT_FALSE(stats_.notice());
}

TEST_F(what_a_caller_knows_of_an_endpoint, IsNotEndedByRefusals) {
  Finish(Leaving(5));
  Finish(std::nullopt, true, error_kind::kNoEndpoint);
  EXPECT_EQ(stats_.notice(), Leaving(5));
}

TEST_F(what_a_caller_knows_of_an_endpoint, OutlivesARestartOfItsNode) {
  stats_.OnRun(incarnation(1));
  Finish(Leaving(5));
  stats_.OnRun(incarnation(2));
  EXPECT_EQ(stats_.notice(), Leaving(5));
}

TEST_F(what_a_caller_knows_of_an_endpoint, KeepsThatTheSameRunLeaves) {
  Finish(Leaving(5));
  Finish(Limited(5, 30));
  EXPECT_TRUE(stats_.notice()->is_leaving);
  Finish(Limited(6, 30));
  EXPECT_FALSE(stats_.notice()->is_leaving);
}

TEST_F(what_a_caller_knows_of_an_endpoint, KeepsALeavingOneOutOfUse) {
  Finish(Leaving(5));
  EXPECT_TRUE(stats_.IsEjected(now_));
}

// The endpoint's rate is divided among its senders.
class a_send_interval : public what_a_caller_knows_of_an_endpoint {
 protected:
  void Tell(duration interval, std::optional<error_kind> error = std::nullopt) {
    outcome result{.error = error};
    result.peer.emplace();
    result.peer->send_interval = interval;
    stats_.OnSent(now_);
    stats_.OnFinished(now_, result, 10ms);
  }

  /// How long a request with this tolerance has to wait.
  duration WaitOf(double tolerance = 0) const {
    return std::max(duration::zero(), stats_.NextSendAt(tolerance) - now_);
  }
};

TEST_F(a_send_interval, IsKeptBetweenRequests) {
  Tell(400ms);
  EXPECT_EQ(WaitOf(), 0ms);
  stats_.OnSent(now_);
  EXPECT_EQ(WaitOf(), 400ms);
  now_ += 400ms;
  EXPECT_EQ(WaitOf(), 0ms);
}

TEST_F(a_send_interval, BeginsWithARefusal) {
  Tell(400ms, error_kind::kRateLimited);
  EXPECT_EQ(WaitOf(), 400ms);
}

TEST_F(a_send_interval, LetsImportantRequestsGoFirst) {
  Tell(400ms);
  stats_.OnSent(now_);
  now_ += 100ms;
  EXPECT_EQ(WaitOf(0.75), 0ms);
  stats_.OnSent(now_);
  now_ += 300ms;
  EXPECT_EQ(WaitOf(0), 400ms);
}

TEST_F(a_send_interval, EndsWithTheLimit) {
  Tell(400ms, error_kind::kRateLimited);
  Tell(0ms);
  EXPECT_EQ(WaitOf(), 0ms);
}

TEST_F(a_send_interval, EndsWithTheRunOfTheNode) {
  stats_.OnRun(incarnation(1));
  Tell(400ms, error_kind::kRateLimited);
  stats_.OnRun(incarnation(2));
  EXPECT_EQ(WaitOf(), 0ms);
}

}  // namespace
}  // namespace auburnfold
