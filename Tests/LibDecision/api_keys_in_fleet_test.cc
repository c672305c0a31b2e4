#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "registry_fleet.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kNodes = 9;
constexpr duration kValidity = 5s;
constexpr duration kTrouble = 9s;

// Clients keep sending with two keys, one of which goes.
class a_fleet_with_tenants : public testing::TestWithParam<std::uint64_t> {
 protected:
  a_fleet_with_tenants() : nodes_(kNodes, GetParam(), kValidity) {
    nodes_.set_client_keys({"kept", "gone"});
    nodes_.Change(1, {"kept", "gone"});
    nodes_.Pass(8s);
    outdated_before_ = nodes_.outdated_count();
  }

  void RemoveKey() {
    nodes_.Change(2, {"kept"});
    removed_at_ = nodes_.now();
  }

  /// How long after its removal the key was still accepted.
  duration AcceptedAfterRemoval() {
    return nodes_.LastAcceptedAt("gone") - removed_at_;
  }

  std::uint64_t Outdated() const {
    return nodes_.outdated_count() - outdated_before_;
  }

  registry_fleet nodes_;
  std::uint64_t outdated_before_ = 0;
  instant removed_at_;
};

TEST_P(a_fleet_with_tenants, RefusesARemovedKeyEverywhere) {
  RemoveKey();
  nodes_.Pass(kTrouble);
  EXPECT_LE(AcceptedAfterRemoval(), 1s);
  EXPECT_EQ(Outdated(), 0U);
}

TEST_P(a_fleet_with_tenants, StaysInTimeWhileTheStoreRefusesAThirdOfIt) {
  for (std::size_t node = 0; node < kNodes / 3; ++node) {
    nodes_.CutFromStore(node);
  }
  nodes_.Pass(1s);
  RemoveKey();
  nodes_.Pass(kTrouble);
  EXPECT_LE(AcceptedAfterRemoval(), 2500ms);
  EXPECT_EQ(Outdated(), 0U);
}

TEST_P(a_fleet_with_tenants, RefusesKeysAtANodeThatIsCutOff) {
  nodes_.CutOff(0);
  nodes_.Pass(500ms);
  RemoveKey();
  nodes_.Pass(kTrouble);
  EXPECT_LE(AcceptedAfterRemoval(), kValidity);
  EXPECT_GT(Outdated(), 0U);
  nodes_.Reconnect(0);
  nodes_.Pass(3s);
  const std::uint64_t outdated = Outdated();
  nodes_.Pass(3s);
  EXPECT_EQ(Outdated(), outdated);
}

TEST_P(a_fleet_with_tenants, ServesOnForAWhileWithoutTheStore) {
  nodes_.store().BeginOutage(outage_kind::kRefuses);
  nodes_.Pass(3s);
  EXPECT_EQ(Outdated(), 0U);
  nodes_.Pass(1500ms);
  nodes_.store().EndOutage(0);
  nodes_.Pass(2s);
  const std::uint64_t outdated = Outdated();
  nodes_.Pass(5s);
  EXPECT_EQ(Outdated(), outdated);
}

TEST_P(a_fleet_with_tenants, KeepsInTimeWithANodeThatLearnsFromPeersOnly) {
  nodes_.CutFromStore(0);
  nodes_.Restart(0);
  nodes_.Pass(2s);
  RemoveKey();
  nodes_.Pass(kTrouble);
  EXPECT_LE(AcceptedAfterRemoval(), kValidity);
}

TEST_P(a_fleet_with_tenants, TrustsNoOlderCopyOfTheStore) {
  RemoveKey();
  nodes_.Pass(2s);
  nodes_.store().BeginOutage(outage_kind::kPaused);
  nodes_.Pass(300ms);
  nodes_.store().EndOutage(1);
  nodes_.Pass(kTrouble);
  EXPECT_LE(AcceptedAfterRemoval(), 1s);
  EXPECT_GT(Outdated(), 0U);
  nodes_.store().RewriteRoutes();
  nodes_.Pass(2s);
  const std::uint64_t outdated = Outdated();
  nodes_.Pass(3s);
  EXPECT_EQ(Outdated(), outdated);
}

// Guards against a removed key that is let in again: a node that has just
// started takes the older copy for the newest routes.
TEST_P(a_fleet_with_tenants, TrustsNoOlderCopyOfTheStoreAtAFreshNode) {
  RemoveKey();
  nodes_.Pass(6s);
  nodes_.store().BeginOutage(outage_kind::kPaused);
  nodes_.Pass(300ms);
  nodes_.store().EndOutage(1);
  for (std::size_t node = 0; node < kNodes / 3; ++node) {
    nodes_.Restart(node);
  }
  nodes_.Pass(1s);
  nodes_.store().RewriteRoutes();
  nodes_.Pass(3s);
  EXPECT_LE(AcceptedAfterRemoval(), kValidity);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         a_fleet_with_tenants,
                         testing::Range<std::uint64_t>(1, 6));

std::uint64_t CallsOfStore(std::size_t node_count, duration validity) {
  registry_fleet nodes(node_count, 1, validity);
  nodes.set_client_keys({"kept"});
  nodes.Change(1, {"kept"});
  nodes.Pass(10s);
  const std::uint64_t before = nodes.store_call_count();
  nodes.Pass(20s);
  return nodes.store_call_count() - before;
}

TEST(ConfirmingKeys, CostsALargeFleetHardlyMoreReadsThanASmallOne) {
  const auto reads_of = [](std::size_t node_count) {
    return CallsOfStore(node_count, kValidity) -
           CallsOfStore(node_count, duration::zero());
  };
  const std::uint64_t few = reads_of(6);
  const std::uint64_t many = reads_of(48);
  RecordProperty("reads_of_6_nodes", static_cast<int>(few));
  RecordProperty("reads_of_48_nodes", static_cast<int>(many));
  EXPECT_LE(many, 3 * few);
}

}  // namespace
}  // namespace auburnfold
