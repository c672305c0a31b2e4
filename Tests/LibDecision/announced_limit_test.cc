#include "LibDecision/Admission/announced_limit.h"

#include <gtest/gtest.h>

namespace auburnfold {
namespace {

class an_announced_limit : public testing::Test {
 protected:
  void Refuse(std::uint32_t running) {
    limit_.OnSample(instant(),
                    {.occupancy = {running, running}, .is_refused = true});
  }
  void Answer(int times) {
    for (int i = 0; i < times; ++i) {
      limit_.OnSample(instant(), {});
    }
  }

  announced_limit limit_;
};

TEST_F(an_announced_limit, HoldsNothingBackWhileNoSlotsAreAnnounced) {
  EXPECT_TRUE(limit_.HasRoom({5000, 5000}));
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

TEST_F(an_announced_limit, ReturnsToTheAnnouncedSlotsWithTheAnswers) {
  limit_.SetSlots(100);
  Refuse(90);
  Answer(1000);
  EXPECT_EQ(limit_.limit(), 95U);
}

}  // namespace
}  // namespace auburnfold
