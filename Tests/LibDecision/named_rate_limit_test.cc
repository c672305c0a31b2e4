#include "LibDecision/Work/named_rate_limit.h"

#include <gtest/gtest.h>

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class the_limit_that_an_endpoint_names : public testing::Test {
 protected:
  static instant At(duration since_start) { return instant() + since_start; }

  bool Answer(duration started,
              duration now,
              std::optional<double> rate = std::nullopt) {
    return limit_.OnAnswered(At(now), At(started), Naming(rate));
  }

  static endpoint_signals Naming(std::optional<double> rate) {
    endpoint_signals signals;
    if (rate) {
      signals.rate_limit = request_rate(*rate);
    }
    return signals;
  }

  named_rate_limit limit_;
};

TEST_F(the_limit_that_an_endpoint_names, AppliesFromTheFirstAnswer) {
  EXPECT_FALSE(Answer(0s, 1s));
  EXPECT_TRUE(Answer(0s, 2s, 30));
  EXPECT_EQ(limit_.rate(), request_rate(30));
  EXPECT_FALSE(Answer(2s, 3s, 30));
}

TEST_F(the_limit_that_an_endpoint_names, EndsWhenALaterAnswerNamesNone) {
  Answer(1s, 2s, 30);
  EXPECT_TRUE(Answer(2s, 3s));
  EXPECT_FALSE(limit_.rate());
}

class an_answer_that_was_overtaken : public the_limit_that_an_endpoint_names {};

TEST_F(an_answer_that_was_overtaken, DoesNotEndTheLimit) {
  Answer(1s, 2s, 30);
  EXPECT_FALSE(Answer(1500ms, 3s));
  EXPECT_EQ(limit_.rate(), request_rate(30));
}

TEST_F(an_answer_that_was_overtaken, DoesNotRaiseTheLimit) {
  Answer(1s, 2s, 30);
  EXPECT_FALSE(Answer(1500ms, 3s, 60));
  EXPECT_EQ(limit_.rate(), request_rate(30));
  EXPECT_TRUE(Answer(2500ms, 4s, 60));
}

TEST_F(an_answer_that_was_overtaken, MayLowerTheLimit) {
  Answer(1s, 2s, 30);
  EXPECT_TRUE(Answer(1500ms, 3s, 10));
  EXPECT_EQ(limit_.rate(), request_rate(10));
}

class an_answer_with_an_unreadable_limit
    : public the_limit_that_an_endpoint_names {};

TEST_F(an_answer_with_an_unreadable_limit, LeavesTheLastOneInForce) {
  Answer(1s, 2s, 30);
  EXPECT_FALSE(
      limit_.OnAnswered(At(4s), At(3s), {.has_unreadable_rate_limit = true}));
  EXPECT_EQ(limit_.rate(), request_rate(30));
}

class a_refusal : public the_limit_that_an_endpoint_names {};

TEST_F(a_refusal, MayNameALimitButNotEndIt) {
  EXPECT_TRUE(limit_.OnRefused(At(2s), At(1s), Naming(30)));
  EXPECT_FALSE(limit_.OnRefused(At(4s), At(3s), Naming(std::nullopt)));
  EXPECT_EQ(limit_.rate(), request_rate(30));
}

class a_limit_known_from_peers : public the_limit_that_an_endpoint_names {};

TEST_F(a_limit_known_from_peers, CountsUntilTheEndpointAnswers) {
  EXPECT_TRUE(limit_.OnReportedByPeer(request_rate(30)));
  EXPECT_FALSE(limit_.OnReportedByPeer(request_rate(40)));
  EXPECT_TRUE(limit_.OnReportedByPeer(request_rate(20)));
  EXPECT_EQ(limit_.rate(), request_rate(20));
  EXPECT_TRUE(Answer(1s, 2s));
  EXPECT_FALSE(limit_.rate());
  EXPECT_FALSE(limit_.OnReportedByPeer(request_rate(30)));
}

}  // namespace
}  // namespace auburnfold
