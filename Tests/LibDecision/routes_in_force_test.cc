#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>

#include "registry_fleet.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kNodes = 8;
/// Enough for each moment at which a watch can be, whatever its duration.
constexpr duration kLongestPhase = 4s;
constexpr duration kPhaseStep = 130ms;

/// A fleet that routes by version 5, `phase` after it was last told so.
class a_fleet {
 public:
  explicit a_fleet(duration phase, std::uint64_t seed = 1)
      : nodes_(kNodes, seed) {
    nodes_.Pass(1s);
    nodes_.Change(4);
    nodes_.Pass(2s);
    nodes_.store().WriteElsewhere(10);
    nodes_.Change(5);
    nodes_.Pass(phase);
  }

  registry_fleet* operator->() { return &nodes_; }

 private:
  registry_fleet nodes_;
};

/// What the store does from the start of the trouble.
struct store_trouble {
  const char* name;
  outage_kind outage;
  duration length;
  /// Writes that the store loses, the last of which is version 5.
  std::uint64_t writes_lost;
};

constexpr store_trouble kTroubles[] = {
    {"RefusesForAMoment", outage_kind::kRefuses, 50ms, 0},
    {"IsSilentForAMoment", outage_kind::kSilent, 50ms, 0},
    {"IsSilentForASecond", outage_kind::kSilent, 1s, 0},
    {"ReturnsOlderAtOnce", outage_kind::kPaused, 20ms, 11},
    {"ReturnsOlderAfterAMoment", outage_kind::kPaused, 300ms, 11},
    {"ReturnsOlderWithoutItsConnections", outage_kind::kSilent, 300ms, 11},
    {"ReturnsOlderAfterRefusing", outage_kind::kRefuses, 1500ms, 11},
};

class a_store_that : public testing::TestWithParam<store_trouble> {
 protected:
  /// The trouble, `phase` after the last change, then a change.
  static duration DelayAfter(duration phase) {
    a_fleet nodes(phase);
    nodes->store().BeginOutage(GetParam().outage);
    nodes->Pass(GetParam().length);
    nodes->Disturb();
    nodes->store().EndOutage(GetParam().writes_lost);
    nodes->store().RewriteRoutes();
    nodes->Pass(200ms);
    nodes->Change(9);
    // Revisions from before the trouble are given out again.
    nodes->store().WriteElsewhere(40);
    nodes->Pass(20s);
    return nodes->longest_delay();
  }
};

TEST_P(a_store_that, HasEachChangeInForceInTimeAtEachPhaseOfTheWatch) {
  for (duration phase{}; phase < kLongestPhase; phase += kPhaseStep) {
    EXPECT_EQ(DelayAfter(phase), duration::zero())
        << "phase of " << phase / 1ms << " ms";
  }
}

INSTANTIATE_TEST_SUITE_P(Every,
                         a_store_that,
                         testing::ValuesIn(kTroubles),
                         [](const auto& each) {
                           return std::string(each.param.name);
                         });

class connections_to_the_store : public testing::Test {};

TEST_F(connections_to_the_store, MayGoSilentAtEachPhaseOfTheWatch) {
  for (duration phase{}; phase < kLongestPhase; phase += kPhaseStep) {
    a_fleet nodes(phase);
    nodes->store().SilenceConnections();
    nodes->Disturb();
    nodes->Pass(100ms);
    nodes->Change(9);
    nodes->Pass(20s);
    EXPECT_EQ(nodes->longest_delay(), duration::zero())
        << "phase of " << phase / 1ms << " ms";
  }
}

class a_history : public testing::Test {};

TEST_F(a_history, MayBeForgottenWhileWatchesHearNothing) {
  for (duration phase{}; phase < kLongestPhase; phase += kPhaseStep) {
    a_fleet nodes(phase);
    nodes->store().DeafenWatches();
    nodes->Pass(300ms);
    nodes->Change(9);
    nodes->Pass(700ms);
    nodes->store().ForgetHistory();
    nodes->Disturb();
    nodes->Pass(20s);
    EXPECT_EQ(nodes->longest_delay(), duration::zero())
        << "phase of " << phase / 1ms << " ms";
  }
}

// The store came back without version 5, and the operator has not written it
// again yet.
class a_node_that_starts_beside_an_older_store : public testing::Test {
 protected:
  a_node_that_starts_beside_an_older_store() : nodes_(500ms) {
    nodes_->store().BeginOutage(outage_kind::kRefuses);
    nodes_->Pass(300ms);
    nodes_->Disturb();
    nodes_->store().EndOutage(1);
    nodes_->Pass(300ms);
    // The node reads the older version before any peer sends it a request.
    nodes_->set_has_traffic(false);
    nodes_->Pass(100ms);
    nodes_->Restart(0);
    nodes_->Pass(100ms);
    nodes_->set_has_traffic(true);
  }

  a_fleet nodes_;
};

TEST_F(a_node_that_starts_beside_an_older_store, RoutesLikeTheOthers) {
  nodes_->Pass(2s);
  EXPECT_EQ(nodes_->VersionOf(0), 5);
}

TEST_F(a_node_that_starts_beside_an_older_store, FollowsTheOthersInTime) {
  nodes_->Pass(10s);
  EXPECT_EQ(nodes_->longest_delay(), duration::zero());
}

TEST_F(a_node_that_starts_beside_an_older_store, IsNotAReasonToGoBack) {
  nodes_->Pass(2s);
  for (std::size_t i = 1; i < kNodes; ++i) {
    EXPECT_EQ(nodes_->VersionOf(i), 5);
  }
}

class a_node_without_the_store : public testing::Test {};

TEST_F(a_node_without_the_store, LearnsOfAChangeFromItsPeers) {
  a_fleet nodes(500ms);
  nodes->CutFromStore(0);
  nodes->Pass(5s);
  nodes->Change(9);
  nodes->Pass(2s);
  EXPECT_EQ(nodes->VersionOf(0), 9);
  EXPECT_EQ(nodes->longest_delay(), duration::zero());
}

class a_view : public a_node_that_starts_beside_an_older_store {};

TEST_F(a_view, HoldsTheRoutesThatItsNodeUses) {
  EXPECT_EQ(nodes_->VersionOf(1), 5);
  EXPECT_EQ(nodes_->RoutesInViewOf(1), "5");
}

class the_newest_valid_version : public testing::Test {};

TEST_F(the_newest_valid_version, IsInForceAfterEachSequenceOfValues) {
  std::mt19937_64 random(7);
  for (int sequence = 0; sequence < 50; ++sequence) {
    registry_fleet nodes(1, random());
    std::uint64_t newest = 0;
    for (int i = 0; i < 12; ++i) {
      const bool is_valid = random() % 4 != 0;
      const std::uint64_t version = 1 + random() % 20;
      nodes.store().WriteRoutes(std::to_string(version) +
                                (is_valid ? "" : "x"));
      newest = is_valid ? std::max(newest, version) : newest;
      nodes.Pass(1s);
      ASSERT_EQ(nodes.VersionOf(0), newest);
      ASSERT_EQ(nodes.RoutesInViewOf(0),
                newest == 0 ? "" : std::to_string(newest));
    }
  }
}

}  // namespace
}  // namespace auburnfold
