#include "LibDecision/Retries/service_retry_budgets.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class the_share_of_a_service : public testing::Test {
 protected:
  void Arrive(int times, bool is_repeat = false) {
    for (int i = 0; i < times; ++i) {
      shares_.OnFirstAttempt(now_, service_, is_repeat);
    }
  }

  int TakeAll(retry_priority priority) {
    int taken = 0;
    while (shares_.TrySpend(now_, service_, priority)) {
      ++taken;
    }
    return taken;
  }

  instant now_{};
  service_name service_{"s"};
  service_retry_budgets shares_;
};

TEST_F(the_share_of_a_service, StaysBelowATenthOfTheRequests) {
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    Arrive(1);
    taken += TakeAll(retry_priority::kRootCall);
  }
  EXPECT_LE(taken, 100);
  EXPECT_GE(taken, 40);
}

// The callers' nodes and the endpoints' nodes each hold to a tenth.
// Replays calm seconds before all requests are turned away: any ten seconds
// hold at most a tenth of the requests of the busier of them and those before.
TEST_F(the_share_of_a_service, KeepsWhatACalmTimeEarnedForTheTroubleAfterIt) {
  constexpr int kPerSecond = 200;
  std::vector<int> taken;
  for (int second = 0; second < 40; ++second) {
    const bool is_calm = second < 10 || (second >= 20 && second < 25);
    taken.push_back(0);
    for (int i = 0; i < kPerSecond; ++i) {
      now_ += 5ms;
      Arrive(1);
      taken.back() += is_calm ? 0 : TakeAll(retry_priority::kRootCall);
    }
  }
  EXPECT_GE(taken[10], 80);
  for (std::size_t first = 0; first + 10 <= taken.size(); ++first) {
    int sum = 0;
    for (std::size_t i = first; i < first + 10; ++i) {
      sum += taken[i];
    }
    EXPECT_LE(sum, 10 * kPerSecond / 10);
  }
}

TEST_F(the_share_of_a_service, LapsesWithTheWindowInWhichItWasEarned) {
  Arrive(1000);
  now_ += 11s;
  EXPECT_EQ(TakeAll(retry_priority::kRootCall), 0);
}

TEST_F(the_share_of_a_service, IsKeptForTheBetterClaims) {
  Arrive(2000);
  EXPECT_LE(TakeAll(retry_priority::kLowPriority), 9);
  EXPECT_LE(TakeAll(retry_priority::kFirstCall), 9);
  EXPECT_GE(TakeAll(retry_priority::kLaterCall), 60);
  EXPECT_GE(TakeAll(retry_priority::kRootCall), 8);
}

// Replays a deep service that turns away half of what arrives: each root needs
// five calls in a row there, and there are repeats for a part only.
TEST_F(the_share_of_a_service, LetsMoreTreesSucceedThanIfAllCallsWereAlike) {
  constexpr int kRoots = 148;
  constexpr int kCalls = 5;
  const auto play = [](bool is_graded) {
    service_retry_budgets shares;
    const service_name service("s");
    instant now{};
    std::mt19937 random(7);
    std::bernoulli_distribution is_turned_away(0.55);
    for (int i = 0; i < kRoots * kCalls * 10; ++i) {
      shares.OnFirstAttempt(now, service, false);
    }
    int succeeded = 0;
    for (int second = 0; second < 8; ++second) {
      now += 1s;
      std::vector<bool> is_open(kRoots, true);
      for (int call = 0; call < kCalls; ++call) {
        const bool is_first = is_graded && call == 0;
        const retry_priority priority =
            is_first ? retry_priority::kFirstCall : retry_priority::kLaterCall;
        for (int root = 0; root < kRoots; ++root) {
          if (!is_open[root]) {
            continue;
          }
          shares.OnFirstAttempt(now, service, false);
          while (is_open[root] && is_turned_away(random)) {
            is_open[root] = shares.TrySpend(now, service, priority);
          }
        }
      }
      succeeded += static_cast<int>(std::ranges::count(is_open, true));
    }
    return succeeded;
  };
  EXPECT_GE(play(true), play(false) * 5 / 4);
}

TEST_F(the_share_of_a_service, HasOneRetryForWhatIsImportantAtTheStart) {
  EXPECT_EQ(TakeAll(retry_priority::kLowPriority), 0);
  EXPECT_EQ(TakeAll(retry_priority::kRootCall), 1);
}

// Replays a fault one level up: repeated runs there repeat their calls here,
// and leave nothing for retries of this level's own.
TEST_F(the_share_of_a_service, IsSpentByTheCallsOfRepeatedRuns) {
  for (int i = 0; i < 100; ++i) {
    Arrive(17);
    Arrive(3, true);
  }
  EXPECT_EQ(TakeAll(retry_priority::kRootCall), 0);
}

TEST_F(the_share_of_a_service, IsNotThatOfAnother) {
  TakeAll(retry_priority::kRootCall);
  EXPECT_TRUE(
      shares_.TrySpend(now_, service_name("t"), retry_priority::kRootCall));
}

}  // namespace
}  // namespace auburnfold
