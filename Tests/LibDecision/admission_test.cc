#include "LibDecision/Admission/admission_controller.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/Timers/timer_service.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

// An endpoint with a fixed number of slots, driven at a steady rate.
class an_endpoint {
 public:
  an_endpoint(std::size_t slots, duration service_time)
      : slots_(slots), service_time_(service_time) {}

  void set_service_time(duration time) { service_time_ = time; }

  /// Offers one request each `gap` for `length`.
  void Offer(duration gap, duration length) {
    const instant end = now_ + length;
    for (instant next = now_; next < end; next += gap) {
      FinishUntil(next);
      request_metadata metadata;
      metadata.root = request_id(std::to_string(next_work_));
      metadata.time_left = 10s;
      event_context context(now_, next_work_, timers_);
      Apply(admission_.Offer(context, work_id(next_work_++), metadata, row_));
    }
  }

  std::uint32_t limit() const { return admission_.limit(); }
  std::size_t finished() const { return finished_; }

 private:
  void FinishUntil(instant until) {
    while (!busy_.empty() && busy_.begin()->first <= until) {
      now_ = busy_.begin()->first;
      const work_id done = busy_.begin()->second;
      busy_.erase(busy_.begin());
      ++finished_;
      event_context context(now_, finished_, timers_);
      Apply(admission_.OnFinished(context, done, {}));
      TakeSlots();
    }
    now_ = until;
    event_context context(now_, 1, timers_);
    while (timers_.PopDue(now_)) {
      Apply(admission_.OnTimer(context, 0));
    }
  }

  void Apply(const std::vector<admission_decision>& decisions) {
    for (const admission_decision& decision : decisions) {
      if (!decision.refusal) {
        waiting_.push_back(decision.work);
      }
    }
    TakeSlots();
  }

  void TakeSlots() {
    while (busy_.size() < slots_ && !waiting_.empty()) {
      const auto spread = duration(MixBits(waiting_.front().value()) % 2000000);
      busy_.emplace(now_ + service_time_ - 1ms + spread, waiting_.front());
      waiting_.pop_front();
    }
  }

  std::size_t slots_;
  duration service_time_;
  instant now_{};
  timer_service timers_;
  admission_controller admission_{limit_mode::kAdaptive};
  row_settings row_;
  std::uint64_t next_work_ = 1;
  std::size_t finished_ = 0;
  std::multimap<instant, work_id> busy_;
  std::deque<work_id> waiting_;
};

TEST(AnAdaptiveLimit, FindsTheSlotsOfAnOverloadedEndpoint) {
  for (const std::size_t slots : {15, 170}) {
    an_endpoint endpoint(slots, 10ms);
    endpoint.Offer(duration(10ms) / (2 * static_cast<int>(slots)), 5s);
    EXPECT_GE(endpoint.limit(), slots * 9 / 10) << slots;
    EXPECT_LE(endpoint.limit(), slots * 3 / 2) << slots;
  }
}

TEST(AnAdaptiveLimit, KeepsTheSlotsFullWhenTheWorkItselfBecomesSlower) {
  an_endpoint endpoint(20, 10ms);
  endpoint.Offer(250us, 3s);
  endpoint.set_service_time(40ms);
  endpoint.Offer(250us, 2s);
  const std::size_t before = endpoint.finished();
  endpoint.Offer(250us, 4s);
  const double ideal = 20 / 0.040 * 4;
  EXPECT_GE(static_cast<double>(endpoint.finished() - before), 0.95 * ideal);
}

class a_full_endpoint : public testing::Test {
 protected:
  a_full_endpoint() {
    for (std::uint64_t i = 1; admission_.queued() == 0; ++i) {
      Offer(i, 1);
    }
  }

  std::vector<admission_decision> Offer(std::uint64_t work,
                                        std::uint8_t priority,
                                        duration time_left = 10s) {
    request_metadata metadata;
    metadata.root = request_id(std::to_string(work));
    metadata.priority = priority;
    metadata.time_left = time_left;
    event_context context(now_, work, timers_);
    return admission_.Offer(context, work_id(work), metadata, row_);
  }

  std::vector<admission_decision> Finish(std::uint64_t work) {
    event_context context(now_, work, timers_);
    return admission_.OnFinished(context, work_id(work), {});
  }

  std::vector<admission_decision> Pass(duration time) {
    now_ += time;
    event_context context(now_, 1, timers_);
    return timers_.PopDue(now_) ? admission_.OnTimer(context, 0)
                                : std::vector<admission_decision>();
  }

  instant now_{};
  timer_service timers_;
  admission_controller admission_{limit_mode::kAdaptive};
  row_settings row_;
};

TEST_F(a_full_endpoint, RunsTheHighestPriorityNext) {
  Offer(1001, 2);
  Offer(1002, 5);
  Offer(1003, 3);
  const auto decisions = Finish(1);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].work, work_id(1002));
  EXPECT_FALSE(decisions[0].refusal);
}

TEST_F(a_full_endpoint, LetsTheHighestPriorityGoALittleOverItsLimit) {
  const auto decisions = Offer(1001, 7);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_FALSE(decisions[0].refusal);
}

TEST_F(a_full_endpoint, RefusesNoAlertWhileALookupWaits) {
  std::uint64_t work = 1000;
  while (admission_.queued() < 32) {
    Offer(++work, 1);
  }
  for (int i = 0; i < 20; ++i) {
    for (const admission_decision& decision : Offer(++work, 7)) {
      if (decision.refusal) {
        EXPECT_LE(decision.work.value(), 1040U);
        EXPECT_EQ(decision.refusal, error_kind::kOverloaded);
      }
    }
  }
}

TEST_F(a_full_endpoint, AnswersWhatWaitedTooLongAtOnce) {
  row_.queue_limit = 20ms;
  Offer(1001, 2);
  EXPECT_TRUE(Pass(19ms).empty());
  const auto decisions = Pass(2ms);
  ASSERT_EQ(decisions.size(), 1U);
  EXPECT_EQ(decisions[0].work, work_id(1001));
  EXPECT_EQ(decisions[0].refusal, error_kind::kQueueDeadline);
}

TEST_F(a_full_endpoint, DropsWorkThatCannotBeUsefulInItsTimeLeft) {
  // Sixteen requests teach it that one takes 100 ms.
  now_ += 100ms;
  std::uint64_t running = 1;
  for (; running <= 16; ++running) {
    Finish(running);
    Offer(2000 + running, 1);
    if (running == 8) {
      now_ += 100ms;
      for (std::uint64_t work = 2001; work <= 2008; ++work) {
        Finish(work);
      }
    }
  }
  for (std::uint64_t work = 3000; admission_.queued() == 0; ++work) {
    Offer(work, 1);
  }
  const auto decisions = Offer(5000, 1, 50ms);
  ASSERT_FALSE(decisions.empty());
  EXPECT_EQ(decisions[0].work, work_id(5000));
  EXPECT_EQ(decisions[0].refusal, error_kind::kQueueDeadline);
}

class a_queue : public testing::Test {
 protected:
  void Push(std::uint64_t work,
            const std::string& name,
            std::uint32_t weight,
            const std::string& tenant) {
    queue_.Push({work_id(work), RankOf(3, request_id(std::to_string(work))),
                 instant::max()},
                class_name(name), weight, tenant_name(tenant));
  }

  request_queue queue_;
};

TEST_F(a_queue, SharesTurnsByWeightAmongClassesOfOnePriority) {
  for (std::uint64_t i = 0; i < 100; ++i) {
    Push(i, "heavy", 300, "a");
    Push(1000 + i, "light", 100, "a");
  }
  int heavy = 0;
  for (int i = 0; i < 40; ++i) {
    heavy += queue_.PopNext()->work.value() < 1000 ? 1 : 0;
  }
  EXPECT_NEAR(heavy, 30, 1);
}

TEST_F(a_queue, SharesTurnsEquallyAmongTenants) {
  for (std::uint64_t i = 0; i < 90; ++i) {
    Push(i, "lookup", 100, "loud");
  }
  for (std::uint64_t i = 0; i < 10; ++i) {
    Push(1000 + i, "lookup", 100, "quiet");
  }
  int quiet = 0;
  for (int i = 0; i < 20; ++i) {
    quiet += queue_.PopNext()->work.value() >= 1000 ? 1 : 0;
  }
  EXPECT_EQ(quiet, 10);
}

TEST_F(a_queue, RefusesTheLowestRankOfTheLoudestTenantFirst) {
  for (std::uint64_t i = 0; i < 10; ++i) {
    Push(i, "lookup", 100, "loud");
  }
  Push(1000, "lookup", 100, "quiet");
  const auto last = queue_.PopLowest();
  EXPECT_LT(last->work.value(), 1000U);
  const auto next = queue_.PopLowest();
  EXPECT_LE(last->admission_rank, next->admission_rank);
}

}  // namespace
}  // namespace auburnfold
