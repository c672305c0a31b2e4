#include "LibDecision/Membership/membership.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>

#include "control_fleet.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kNodes = 40;

class a_fleet : public testing::TestWithParam<std::uint64_t> {
 protected:
  a_fleet() : fleet_(GetParam(), kNodes) {}

  void StartTogether() {
    fleet_.StartAll();
    fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes); }, 30s);
    ASSERT_TRUE(fleet_.AllSeeReady(kNodes));
    fleet_.RunFor(10s);
  }

  bool IsAnyRunningForgotten() const {
    std::size_t running = 0;
    for (std::size_t index = 0; index < kNodes; ++index) {
      running += fleet_.is_running(index) ? 1 : 0;
    }
    for (std::size_t index = 0; index < kNodes; ++index) {
      if (fleet_.is_running(index) && fleet_.ReadyCount(index) < running) {
        return true;
      }
    }
    return false;
  }

  control_fleet fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, a_fleet, testing::Range<std::uint64_t>(1, 6));

class a_fleet_that_starts : public a_fleet {};
INSTANTIATE_TEST_SUITE_P(Seeds,
                         a_fleet_that_starts,
                         testing::Range<std::uint64_t>(1, 6));

TEST_P(a_fleet_that_starts, FindsItselfThroughAFewAddressesInTheStore) {
  fleet_.StartAll();
  EXPECT_LT(fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes); }, 30s),
            10s);
  EXPECT_TRUE(fleet_.AllSeeReady(kNodes));
}

TEST_P(a_fleet_that_starts, CallsTheStoreAtARateThatItsSizeDoesNotChange) {
  StartTogether();
  fleet_.RunFor(60s);
  const std::uint64_t before = fleet_.CountOf(counter::kStoreCalls);
  fleet_.RunFor(300s);
  // Three domains, each with a keeper and two watchers that ask every 15 to
  // 30 s.
  EXPECT_LE(fleet_.CountOf(counter::kStoreCalls) - before, 3U * 3U * 20U);
}

TEST_P(a_fleet_that_starts, LeavesTheStoreToFewWatchersOnceItIsWhole) {
  StartTogether();
  const std::uint64_t before = fleet_.CountOf(counter::kStoreCalls);
  fleet_.RunFor(40s);
  // Three keepers that ask up to three times, and six watchers up to twice.
  EXPECT_LE(fleet_.CountOf(counter::kStoreCalls) - before, 3U * 3U + 6U * 2U);
}

TEST_P(a_fleet_that_starts, GoesToWorkAloneIfNobodyCanBeAsked) {
  fleet_.store.set_down(true);
  fleet_.StartAll();
  fleet_.RunFor(10s);
  EXPECT_TRUE(fleet_.AllSeeReady(1));
  fleet_.store.set_down(false);
  fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes); }, 120s);
  EXPECT_TRUE(fleet_.AllSeeReady(kNodes));
}

TEST_P(a_fleet, TakesInAFreshNodeWhileTheStoreIsDown) {
  StartTogether();
  fleet_.Kill(7);
  fleet_.store.set_down(true);
  fleet_.RunFor(60s);
  fleet_.Start(7, {3, 4});
  fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes); }, 10s);
  EXPECT_TRUE(fleet_.AllSeeReady(kNodes));
}

TEST_P(a_fleet, KnowsEverywhereThatAnEndpointIsLeaving) {
  StartTogether();
  fleet_.Stop(5);
  const duration known =
      fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes - 1); }, 30s);
  EXPECT_LE(known, 3s);
}

TEST_P(a_fleet, FindsADeadNode) {
  StartTogether();
  fleet_.Kill(5);
  const duration known =
      fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes - 1); }, 60s);
  EXPECT_LE(known, 10s);
  fleet_.RunFor(60s);
  EXPECT_TRUE(fleet_.AllSeeReady(kNodes - 1));
}

TEST_P(a_fleet, TakesANewProcessAtAnOldAddressThoughItsClockIsBehind) {
  StartTogether();
  fleet_.Kill(5);
  fleet_.RunFor(20s);
  fleet_.set_next_run(3);
  fleet_.Start(5, {1});
  fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes); }, 30s);
  EXPECT_TRUE(fleet_.AllSeeReady(kNodes));
  EXPECT_GT(fleet_.members(5).self().run, incarnation(100));
}

TEST_P(a_fleet, TakesBackANodeThatWasPausedAndHeldForDead) {
  StartTogether();
  fleet_.Pause(5);
  fleet_.RunFor(30s);
  EXPECT_EQ(fleet_.ReadyCount(6), kNodes - 1);
  const std::uint64_t dead = fleet_.CountOf(counter::kMembersFoundDead);
  fleet_.Resume(5);
  fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes); }, 15s);
  EXPECT_TRUE(fleet_.AllSeeReady(kNodes));
  EXPECT_EQ(fleet_.CountOf(counter::kMembersFoundDead), dead);
}

class a_fleet_that_is_cut : public a_fleet {
 protected:
  void CutInTwo() {
    fleet_.set_cut([](std::size_t from, std::size_t to) {
      return (from < kNodes / 2) != (to < kNodes / 2);
    });
  }
};
INSTANTIATE_TEST_SUITE_P(Seeds,
                         a_fleet_that_is_cut,
                         testing::Range<std::uint64_t>(1, 6));

TEST_P(a_fleet_that_is_cut, ForgetsOnlyAShareOfTheOtherSideAtFirst) {
  StartTogether();
  CutInTwo();
  fleet_.RunFor(60s);
  for (std::size_t index = 0; index < kNodes; ++index) {
    EXPECT_GE(fleet_.ReadyCount(index), kNodes * 7 / 10);
  }
}

TEST_P(a_fleet_that_is_cut, IsWholeAgainSoonAfterAnHour) {
  StartTogether();
  CutInTwo();
  fleet_.RunFor(1h);
  fleet_.set_cut(nullptr);
  const duration healed =
      fleet_.RunUntil([this] { return fleet_.AllSeeReady(kNodes); }, 120s);
  EXPECT_TRUE(fleet_.AllSeeReady(kNodes));
  EXPECT_LE(healed, 60s);
}

TEST_P(a_fleet_that_is_cut, KeepsItsBytesBoundedWhenItHeals) {
  StartTogether();
  CutInTwo();
  fleet_.RunFor(600s);
  fleet_.set_cut(nullptr);
  const std::uint64_t before = fleet_.bytes_sent();
  fleet_.RunFor(120s);
  constexpr std::uint64_t kSentBytesPerSecond = 5500;
  EXPECT_LE((fleet_.bytes_sent() - before) / kNodes / 120, kSentBytesPerSecond);
}

class a_third_that_dies_at_once : public a_fleet {
 protected:
  static constexpr std::size_t kLeft = kNodes - kNodes / 3;

  void KillAThird() {
    for (std::size_t index = kLeft; index < kNodes; ++index) {
      fleet_.Kill(index);
    }
  }
};
INSTANTIATE_TEST_SUITE_P(Seeds,
                         a_third_that_dies_at_once,
                         testing::Range<std::uint64_t>(1, 6));

TEST_P(a_third_that_dies_at_once, IsForgottenLittleByLittle) {
  StartTogether();
  KillAThird();
  fleet_.RunFor(60s);
  for (std::size_t index = 0; index < kLeft; ++index) {
    EXPECT_GE(fleet_.ReadyCount(index), kNodes * 7 / 10);
  }
  fleet_.RunUntil([this] { return fleet_.AllSeeReady(kLeft); }, 1h);
  EXPECT_TRUE(fleet_.AllSeeReady(kLeft));
}

TEST_P(a_third_that_dies_at_once, TakesNobodyElseWithIt) {
  StartTogether();
  KillAThird();
  for (int second = 0; second < 120; ++second) {
    fleet_.RunFor(1s);
    EXPECT_FALSE(IsAnyRunningForgotten());
  }
}

class a_member_list : public testing::Test {
 protected:
  static member_record Record(std::uint64_t run,
                              std::uint64_t version,
                              member_state state) {
    member_record record;
    record.node = node_id(7);
    record.run = incarnation(run);
    record.version = version;
    record.state = state;
    record.service = service_name("listings");
    return record;
  }

  member_list list_;
};

TEST_F(a_member_list, TakesOnlyWhatIsNewer) {
  EXPECT_TRUE(list_.ApplyIfNewer(Record(2, 1, member_state::kReady)));
  EXPECT_FALSE(list_.ApplyIfNewer(Record(2, 1, member_state::kReady)));
  EXPECT_FALSE(list_.ApplyIfNewer(Record(1, 9, member_state::kGone)));
  EXPECT_TRUE(list_.ApplyIfNewer(Record(2, 1, member_state::kGone)));
  EXPECT_FALSE(list_.ApplyIfNewer(Record(2, 1, member_state::kLeaving)));
  EXPECT_TRUE(list_.ApplyIfNewer(Record(3, 0, member_state::kReady)));
}

TEST_F(a_member_list, HasTheDigestOfItsMembersAlone) {
  const std::uint64_t empty = list_.digest();
  list_.ApplyIfNewer(Record(2, 1, member_state::kReady));
  EXPECT_NE(list_.digest(), empty);
  list_.ApplyIfNewer(Record(2, 1, member_state::kGone));
  EXPECT_EQ(list_.digest(), empty);
  EXPECT_TRUE(list_.Ready(service_name("listings")).empty());
}

TEST(a_rendezvous_entry, SurvivesItsCodecAndLeavesOutWhatMakesNoSense) {
  const std::vector<node_address> addresses{{"10.0.0.1", 1, 2},
                                            {"10.0.0.2", 3, 4}};
  const std::string value = EncodeAddresses(addresses);
  EXPECT_EQ(DecodeAddresses(value), addresses);
  EXPECT_EQ(DecodeAddresses(value + "x\n10.0.0.3 0 9\n1 2 70000\n"), addresses);
}

}  // namespace
}  // namespace auburnfold
