#include "LibDecision/Admission/announced_limit.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>

namespace auburnfold {
namespace {

class an_announced_limit : public testing::Test {
 protected:
  void Refuse(std::uint32_t running) {
    limit_.OnSample(
        now_,
        {.occupancy = {running, running}, .started = now_, .is_refused = true});
  }
  // An endpoint that runs `slots` at once is filled to the limit again and
  // again, `times` times a millisecond apart.
  void Fill(std::uint32_t slots, int times) {
    for (int i = 0; i < times; ++i) {
      now_ += std::chrono::milliseconds(1);
      const instant sent = now_;
      const std::uint32_t running = limit_.limit();
      for (std::uint32_t each = running; each > slots; --each) {
        limit_.OnSample(
            now_ + std::chrono::microseconds(10),
            {.occupancy = {each, each}, .started = sent, .is_refused = true});
      }
      Answer(static_cast<int>(std::min(running, slots)) / 10);
    }
  }
  void Answer(int times) {
    for (int i = 0; i < times; ++i) {
      limit_.OnSample(now_, {});
    }
  }

  announced_limit limit_;
  instant now_{};
};

TEST_F(an_announced_limit, HoldsNothingBackWhileNoSlotsAreAnnounced) {
  EXPECT_TRUE(limit_.HasCapacity({5000, 5000}));
}

TEST_F(an_announced_limit, LeavesTheLastSlotsFree) {
  limit_.SetSlots(194);
  EXPECT_EQ(limit_.limit(), 184U);
  limit_.SetSlots(18);
  EXPECT_EQ(limit_.limit(), 17U);
}

TEST_F(an_announced_limit, LetsOneRequestThroughWhereThereIsOneSlot) {
  limit_.SetSlots(1);
  EXPECT_EQ(limit_.limit(), 1U);
}

TEST_F(an_announced_limit, FallsIfAFullEndpointTurnsRequestsAway) {
  limit_.SetSlots(100);
  Refuse(90);
  EXPECT_EQ(limit_.limit(), 81U);
}

TEST_F(an_announced_limit, StaysIfAnEndpointWithRoomTurnsRequestsAway) {
  limit_.SetSlots(100);
  for (int i = 0; i < 50; ++i) {
    Refuse(20);
  }
  EXPECT_EQ(limit_.limit(), 95U);
}

TEST_F(an_announced_limit, FindsTheSlotsOfAnEndpointThatAnnouncesTooMany) {
  limit_.SetSlots(100);
  Fill(60, 500);
  EXPECT_GE(limit_.limit(), 50U);
  EXPECT_LE(limit_.limit(), 66U);
}

// Replays the deepest service of a call chain at full load, half of whose
// answers are refusals at random for seconds.
TEST_F(an_announced_limit, StaysUsefulIfRefusalsDoNotEndWithFewerRequests) {
  limit_.SetSlots(29);
  std::uint64_t sum = 0;
  for (int i = 0; i < 2000; ++i) {
    now_ += std::chrono::milliseconds(1);
    Refuse(limit_.limit());
    Answer(1);
    sum += limit_.limit();
  }
  EXPECT_GE(sum / 2000, 25U);
}

TEST_F(an_announced_limit, ReturnsToTheAnnouncedSlotsWithTheAnswers) {
  limit_.SetSlots(100);
  Refuse(90);
  Answer(1000);
  EXPECT_EQ(limit_.limit(), 95U);
}

}  // namespace
}  // namespace auburnfold
