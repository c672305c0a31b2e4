#include "LibDecision/Admission/rate_limiter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

// Offers requests at even intervals and starts each that has a token.
class a_rate_limiter : public testing::Test {
 protected:
  void Offer(double per_second, duration length) {
    const auto gap = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / per_second));
    for (const instant end = now_ + length; now_ < end; now_ += gap) {
      if (limiter_.HasToken(now_)) {
        limiter_.OnStarted(now_);
        starts_.push_back(now_);
      }
    }
  }

  /// The highest number of starts in any span of `length` that ends at `from`
  /// or later.
  std::size_t MostStartsWithin(duration length, instant from) const {
    std::size_t most = 0;
    auto first = starts_.begin();
    for (auto last = starts_.begin(); last != starts_.end(); ++last) {
      while (*last - *first >= length) {
        ++first;
      }
      if (*last >= from) {
        most = std::max<std::size_t>(
            most, static_cast<std::size_t>(last - first) + 1);
      }
    }
    return most;
  }

  rate_limiter limiter_;
  instant now_ = instant() + 100s;
  std::vector<instant> starts_;
};

class without_a_limit : public a_rate_limiter {};

TEST_F(without_a_limit, StartsEverything) {
  Offer(1000, 1s);
  EXPECT_EQ(starts_.size(), 1000U);
  EXPECT_FALSE(limiter_.CurrentRate(now_));
  EXPECT_EQ(limiter_.NextTokenAt(now_), now_);
}

class with_a_limit : public a_rate_limiter {};

TEST_F(with_a_limit, StartsAtThatRate) {
  limiter_.SetRate(now_, request_rate(30));
  Offer(200, 20s);
  EXPECT_GE(starts_.size(), 590U);
  EXPECT_LE(starts_.size(), 603U);
}

TEST_F(with_a_limit, StartsNoBurstAfterAnIdleTime) {
  limiter_.SetRate(now_, request_rate(30));
  now_ += 1h;
  Offer(2000, 10s);
  EXPECT_LE(MostStartsWithin(100ms, now_ - 10s), 7U);
  EXPECT_LE(MostStartsWithin(4s, now_ - 10s), 124U);
}

TEST_F(with_a_limit, KeepsIntoAccountWhatIsStartedWithoutAToken) {
  limiter_.SetRate(now_, request_rate(10));
  for (int i = 0; i < 10; ++i) {
    limiter_.OnStarted(now_);
  }
  Offer(100, 900ms);
  EXPECT_TRUE(starts_.empty());
}

TEST_F(with_a_limit, TellsWhenTheNextRequestMayStart) {
  limiter_.SetRate(now_, request_rate(10));
  const instant next = limiter_.NextTokenAt(now_);
  EXPECT_FALSE(limiter_.HasToken(next - 2ms));
  EXPECT_TRUE(limiter_.HasToken(next));
}

TEST_F(with_a_limit, StartsFewRequestsIfItIsZero) {
  limiter_.SetRate(now_, request_rate(0));
  Offer(100, 20s);
  EXPECT_LE(MostStartsWithin(4s, now_ - 20s), 5U);
  EXPECT_GE(starts_.size(), 5U);
}

TEST_F(with_a_limit, IsNotNoticedIfItIsHuge) {
  limiter_.SetRate(now_, request_rate(1e9));
  now_ += 1ms;
  Offer(1000, 1s);
  EXPECT_EQ(starts_.size(), 1000U);
}

TEST_F(with_a_limit, StartsEverythingOnceItEnds) {
  limiter_.SetRate(now_, request_rate(1));
  Offer(100, 1s);
  limiter_.SetRate(now_, std::nullopt);
  starts_.clear();
  Offer(100, 1s);
  EXPECT_EQ(starts_.size(), 100U);
}

// An endpoint in need gets more than its rate when it names it.
class with_a_limit_far_below_the_load : public a_rate_limiter {
 protected:
  static constexpr double kRate = 27;

  /// Spans end at least three seconds after the limit.
  void ExpectTheRateOverFourSeconds(double load) {
    Offer(load, 10s);
    const instant named = now_;
    limiter_.SetRate(now_, request_rate(kRate));
    Offer(load, 30s);
    EXPECT_LE(MostStartsWithin(4s, named + 3s), 1.5 * 4 * kRate + 5);
  }
};

TEST_F(with_a_limit_far_below_the_load, KeepsTheMeanOverFourSeconds) {
  for (const double load : {40, 75, 110, 140}) {
    SCOPED_TRACE(load);
    limiter_ = {};
    starts_.clear();
    ExpectTheRateOverFourSeconds(load);
  }
}

TEST_F(with_a_limit_far_below_the_load, LeavesTheEndpointAPartOfTheRate) {
  Offer(300, 10s);
  limiter_.SetRate(now_, request_rate(kRate));
  starts_.clear();
  Offer(300, 2s);
  EXPECT_GE(starts_.size(), 12U);
}

TEST_F(with_a_limit_far_below_the_load, RepaysOnceIfTheLimitVaries) {
  Offer(75, 10s);
  const instant named = now_;
  for (int i = 0; i < 50; ++i) {
    limiter_.SetRate(now_, request_rate(kRate + i % 3));
    Offer(75, 200ms);
  }
  EXPECT_LE(MostStartsWithin(4s, named + 3s), 1.5 * 4 * kRate + 5);
  starts_.clear();
  Offer(75, 4s);
  EXPECT_GE(starts_.size(), 100U);
}

TEST_F(with_a_limit_far_below_the_load, FollowsALowerOne) {
  limiter_.SetRate(now_, request_rate(60));
  Offer(100, 10s);
  const instant lowered = now_;
  limiter_.SetRate(now_, request_rate(kRate));
  Offer(100, 10s);
  EXPECT_LE(MostStartsWithin(4s, lowered + 3s), 1.5 * 4 * kRate + 5);
}

TEST_F(with_a_limit_far_below_the_load, FollowsAHigherOne) {
  limiter_.SetRate(now_, request_rate(5));
  Offer(100, 10s);
  limiter_.SetRate(now_, request_rate(50));
  starts_.clear();
  Offer(100, 4s);
  EXPECT_GE(starts_.size(), 195U);
}

}  // namespace
}  // namespace auburnfold
