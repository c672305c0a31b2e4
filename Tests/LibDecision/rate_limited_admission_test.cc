#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "LibDecision/Admission/admission_controller.h"
#include "LibDecision/Timers/timer_service.h"
#include "LibDecision/Work/active_senders.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

// An endpoint with free slots that has named ten requests per second.
class a_rate_limited_endpoint : public testing::Test {
 protected:
  a_rate_limited_endpoint() {
    event_context context(now_, 1, timers_);
    admission_.SetRateLimit(context, request_rate(10));
  }

  std::vector<admission_decision> Offer(std::uint64_t work,
                                        std::uint8_t priority = 3,
                                        duration objective = 4s) {
    request_metadata metadata;
    metadata.root = request_id(std::to_string(work));
    metadata.time_left = 10s;
    metadata.objective = objective;
    metadata.priority = priority;
    event_context context(now_, work, timers_);
    return admission_.Offer(context, work_id(work), metadata, {});
  }

  /// The work that timers start until `length` has passed.
  std::vector<work_id> Pass(duration length) {
    std::vector<work_id> started;
    for (const instant end = now_ + length; now_ < end; now_ += 5ms) {
      while (const auto due = timers_.PopDue(now_)) {
        event_context context(now_, 1, timers_);
        for (const admission_decision& decision :
             admission_.OnTimer(context, due->key)) {
          if (!decision.refusal) {
            started.push_back(decision.work);
          }
        }
      }
    }
    return started;
  }

  duration SendInterval(std::size_t senders) const {
    return admission_.SendInterval(now_, senders);
  }

  admission_controller admission_{limit_mode::kAdaptive};
  timer_service timers_;
  instant now_ = instant() + 10s;
};

TEST_F(a_rate_limited_endpoint, GetsARequestThatWaitedForTheRate) {
  EXPECT_TRUE(Offer(1).empty());
  EXPECT_EQ(Pass(150ms), std::vector{work_id(1)});
}

TEST_F(a_rate_limited_endpoint, GetsTheImportantRequestsFirst) {
  EXPECT_TRUE(Offer(1, 0).empty());
  const auto decisions = Offer(2, 6);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].work, work_id(1));
  EXPECT_EQ(decisions[0].refusal, error_kind::kRateLimited);
  EXPECT_EQ(Pass(150ms), std::vector{work_id(2)});
}

TEST_F(a_rate_limited_endpoint, IsNotWaitedForInVain) {
  const auto decisions = Offer(1, 3, 80ms);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].refusal, error_kind::kRateLimited);
}

TEST_F(a_rate_limited_endpoint, HasNoAdmissionLevelForItsService) {
  for (std::uint64_t work = 1; work <= 1000; ++work) {
    Offer(work);
    Pass(10ms);
  }
  answer_metadata answer;
  admission_.DescribeLoad(now_, {}, answer);
  EXPECT_EQ(answer.level, 0);
  EXPECT_GE(answer.retry_after, 100ms);
}

TEST_F(a_rate_limited_endpoint, DividesItsRateAmongSenders) {
  Offer(1);
  EXPECT_EQ(SendInterval(4), 400ms);
  EXPECT_EQ(SendInterval(1000), 4s);
}

TEST_F(a_rate_limited_endpoint, NeedsNoIntervalWhileItsRateIsNotUsedUp) {
  Pass(200ms);
  EXPECT_EQ(SendInterval(4), 0ms);
}

class active_senders_of_requests : public testing::Test {
 protected:
  active_senders senders_;
  instant now_ = instant() + 10s;
};

TEST_F(active_senders_of_requests, AreThoseOfTheLastSeconds) {
  EXPECT_EQ(senders_.Count(now_), 1U);
  for (const std::uint64_t node : {1, 2, 3, 2}) {
    senders_.OnArrived(now_, node_id(node));
  }
  EXPECT_EQ(senders_.Count(now_), 3U);
  now_ += 4s;
  senders_.OnArrived(now_, node_id(2));
  EXPECT_EQ(senders_.Count(now_), 3U);
  now_ += 2s;
  EXPECT_EQ(senders_.Count(now_), 1U);
}

}  // namespace
}  // namespace auburnfold
