#include <gtest/gtest.h>

#include <string>

#include "LibDecision/Pressure/demand_meter.h"
#include "LibDecision/Pressure/pressure_tracker.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

TEST(ARank, IsTheSameForOneRootWhoeverAsks) {
  EXPECT_EQ(RankOf(3, request_id("r1")), RankOf(3, request_id("r1")));
}

TEST(ARank, PutsPriorityBeforeTheHash) {
  for (int i = 0; i < 100; ++i) {
    const request_id root(std::to_string(i));
    EXPECT_GT(RankOf(7, root), RankOf(6, request_id("other")));
  }
}

class a_demand_meter : public testing::Test {
 protected:
  // Callers refuse below the level that the meter published.
  void Run(duration length, double capacity, bool is_overloaded = true) {
    const instant end = now_ + length;
    double credit = 0;
    while (now_ < end) {
      now_ += 1ms;
      Offer("lookup", 1, lookups_per_ms_);
      Offer("scan", 7, scans_per_ms_);
      meter_.OnQueueChanged(now_, is_overloaded);
      for (credit += capacity; credit >= 1; credit -= 1) {
        meter_.OnFinished(now_);
      }
    }
  }

  void Offer(const std::string& name, std::uint8_t priority, int count) {
    for (int i = 0; i < count; ++i) {
      const rank of =
          RankOf(priority, request_id(std::to_string(next_root_++)));
      if (PassesLevel(of, LevelFor(name))) {
        meter_.OnOffered(now_, class_name(name), 100, of);
      }
    }
  }

  std::uint16_t LevelFor(const std::string& name) const {
    return meter_.LevelFor(class_name(name));
  }

  demand_meter meter_;
  instant now_{};
  int lookups_per_ms_ = 8;
  int scans_per_ms_ = 1;
  std::uint64_t next_root_ = 0;
};

TEST_F(a_demand_meter, AdmitsAllWhileTheEndpointKeepsUp) {
  Run(2s, 9, false);
  EXPECT_EQ(LevelFor("lookup"), 0);
}

TEST_F(a_demand_meter, LetsThroughWhatTheEndpointFinishes) {
  Run(3s, 5);
  // Four of eight lookups fit beside the scans.
  EXPECT_NEAR(PassingFraction(1, LevelFor("lookup")), 0.5, 0.1);
  EXPECT_DOUBLE_EQ(PassingFraction(7, LevelFor("scan")), 1);
}

TEST_F(a_demand_meter, RefusesLookupsToTheLastBeforeAScan) {
  scans_per_ms_ = 2;
  Run(3s, 2);
  EXPECT_LE(PassingFraction(1, LevelFor("lookup")), 0.05);
  EXPECT_GE(PassingFraction(7, LevelFor("scan")), 0.95);
}

TEST_F(a_demand_meter, AdmitsAllAgainSoonAfterDemandFalls) {
  Run(3s, 5);
  lookups_per_ms_ = 2;
  Run(1s, 5, false);
  EXPECT_EQ(LevelFor("lookup"), 0);
}

class a_pressure_memory : public testing::Test {
 protected:
  void Hear(std::uint64_t node, std::uint16_t level, bool is_refusal = false) {
    outcome result;
    if (is_refusal) {
      result = {error_kind::kOverloaded, execution_state::kNotExecuted};
    }
    result.peer = answer_metadata{.level = level};
    memory_.OnAnswer(now_, called_, node_id(node), result);
  }

  pressure_tracker memory_;
  service_class called_{service_name("accounts"), class_name("lookup")};
  instant now_{};
};

TEST_F(a_pressure_memory, TakesTheMeanOfTheLatestLevelOfEachEndpoint) {
  Hear(1, 9000);
  Hear(1, 1000);
  Hear(2, 3000);
  EXPECT_EQ(memory_.LevelFor(now_, called_), 2000);
}

TEST_F(a_pressure_memory, ForgetsALevelThatIsNotRefreshed) {
  Hear(1, 9000);
  now_ += 1s;
  EXPECT_EQ(memory_.LevelFor(now_, called_), 0);
}

TEST_F(a_pressure_memory, PassesTheLevelOfADeeperServiceUpForTheCallingClass) {
  Hear(1, 9000);
  memory_.OnChildCall(now_, class_name("listing"), called_);
  EXPECT_EQ(memory_.DependencyLevelFor(now_, class_name("listing")), 9000);
  EXPECT_EQ(memory_.DependencyLevelFor(now_, class_name("scan")), 0);
}

TEST_F(a_pressure_memory, TellsARefusingServiceFromARefusingEndpoint) {
  for (int i = 0; i < 40; ++i) {
    Hear(i % 4, 0, i % 4 == 0);
  }
  EXPECT_FALSE(memory_.IsOverloaded(now_, called_));
  for (int i = 0; i < 40; ++i) {
    Hear(i % 4, 0, true);
  }
  EXPECT_TRUE(memory_.IsOverloaded(now_, called_));
}

}  // namespace
}  // namespace auburnfold
