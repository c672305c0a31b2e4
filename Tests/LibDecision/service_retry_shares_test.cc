#include "LibDecision/Retries/service_retry_shares.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
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

  int TakeAll(bool is_important) {
    int taken = 0;
    while (shares_.TryTake(now_, service_, is_important)) {
      ++taken;
    }
    return taken;
  }

  instant now_{};
  service_name service_{"s"};
  service_retry_shares shares_;
};

TEST_F(the_share_of_a_service, StaysBelowAFifthOfTheRequests) {
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    Arrive(1);
    taken += TakeAll(true);
  }
  EXPECT_LE(taken, 200);
  EXPECT_GE(taken, 80);
}

// Replays calm seconds before all requests are turned away: any ten seconds
// hold at most a fifth of the requests of the busier of them and those before.
TEST_F(the_share_of_a_service, KeepsWhatACalmTimeEarnedForTheTroubleAfterIt) {
  constexpr int kPerSecond = 200;
  std::vector<int> taken;
  for (int second = 0; second < 40; ++second) {
    const bool is_calm = second < 10 || (second >= 20 && second < 25);
    taken.push_back(0);
    for (int i = 0; i < kPerSecond; ++i) {
      now_ += 5ms;
      Arrive(1);
      taken.back() += is_calm ? 0 : TakeAll(true);
    }
  }
  EXPECT_GE(taken[10], 150);
  for (std::size_t first = 0; first + 10 <= taken.size(); ++first) {
    int sum = 0;
    for (std::size_t i = first; i < first + 10; ++i) {
      sum += taken[i];
    }
    EXPECT_LE(sum, 10 * kPerSecond / 5);
  }
}

TEST_F(the_share_of_a_service, LapsesWithTheWindowInWhichItWasEarned) {
  Arrive(1000);
  now_ += 11s;
  EXPECT_EQ(TakeAll(true), 0);
}

TEST_F(the_share_of_a_service, KeepsTheLastHalfForWhatIsImportant) {
  Arrive(1000);
  EXPECT_EQ(TakeAll(false), 45);
  EXPECT_EQ(TakeAll(true), 46);
}

TEST_F(the_share_of_a_service, HasOneRetryForWhatIsImportantAtTheStart) {
  EXPECT_EQ(TakeAll(false), 0);
  EXPECT_EQ(TakeAll(true), 1);
}

// Replays a fault one level up: repeated runs there repeat their calls here,
// and leave nothing for retries of this level's own.
TEST_F(the_share_of_a_service, IsSpentByTheCallsOfRepeatedRuns) {
  for (int i = 0; i < 100; ++i) {
    Arrive(17);
    Arrive(3, true);
  }
  EXPECT_EQ(TakeAll(true), 0);
}

TEST_F(the_share_of_a_service, IsNotThatOfAnother) {
  TakeAll(true);
  EXPECT_TRUE(shares_.TryTake(now_, service_name("t"), true));
}

}  // namespace
}  // namespace auburnfold
