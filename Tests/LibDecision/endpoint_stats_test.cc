#include "LibDecision/Routing/endpoint_stats.h"

#include <gtest/gtest.h>

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
    stats_.OnSent();
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

}  // namespace
}  // namespace auburnfold
