#include <gtest/gtest.h>

#include <cstdint>

#include "registry_fleet.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kNodes = 6;
const request_digest kCulprit(666);
/// A request is quarantined at all nodes this long after its third crash.
constexpr duration kCalmAfter = 3s;
/// Runs that are allowed after that.
constexpr std::size_t kMaxLaterRuns = 3;

/// A fleet under load, at `interval` between the requests of each node.
class a_loaded_fleet {
 public:
  explicit a_loaded_fleet(std::uint64_t seed, duration interval = 25ms)
      : nodes_(kNodes, seed) {
    nodes_.set_traffic_interval(interval);
    nodes_.Pass(500ms);
    nodes_.Change(4);
    nodes_.Pass(2s);
  }

  registry_fleet* operator->() { return &nodes_; }

 private:
  registry_fleet nodes_;
};

class a_request_that_crashes_endpoints : public testing::Test {};

TEST_F(a_request_that_crashes_endpoints, IsNotRunAgainAndAgain) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    a_loaded_fleet nodes(seed);
    nodes->AddCulprit(kCulprit, 150ms);
    nodes->Pass(20s);
    EXPECT_LE(nodes->RecordOf(kCulprit).RunsAfterThirdCrash(kCalmAfter),
              kMaxLaterRuns)
        << "seed " << seed;
    EXPECT_LE(nodes->RecordOf(kCulprit).crashes.size(), 6) << "seed " << seed;
  }
}

TEST_F(a_request_that_crashes_endpoints,
       IsStoppedThoughCrashesLookLikeLostAnswers) {
  for (const std::uint64_t one_in : {1, 2, 4}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      a_loaded_fleet nodes(seed);
      nodes->set_hidden_share(one_in);
      nodes->AddCulprit(kCulprit, 150ms);
      nodes->Pass(30s);
      // At the latest each endpoint's own node has seen two of its crashes.
      EXPECT_LE(nodes->RecordOf(kCulprit).crashes.size(), 2 * kNodes)
          << "seed " << seed << ", one in " << one_in;
      EXPECT_GE(nodes->RecordOf(kCulprit).quarantined, 100)
          << "seed " << seed << ", one in " << one_in;
    }
  }
}

TEST_F(a_request_that_crashes_endpoints, IsRefusedForThisReason) {
  a_loaded_fleet nodes(1);
  nodes->AddCulprit(kCulprit, 150ms);
  nodes->Pass(20s);
  EXPECT_GE(nodes->RecordOf(kCulprit).quarantined, 100);
}

TEST_F(a_request_that_crashes_endpoints, LeavesTheOthersTheirEndpoints) {
  a_loaded_fleet nodes(1);
  nodes->AddCulprit(kCulprit, 150ms);
  nodes->Pass(10s);
  const std::uint64_t sent = nodes->innocent_requests();
  const std::uint64_t served = nodes->innocents_served();
  nodes->Pass(10s);
  const auto later = static_cast<double>(nodes->innocent_requests() - sent);
  EXPECT_GE(static_cast<double>(nodes->innocents_served() - served),
            0.99 * later);
}

// The client gives up for a while, and comes back to nodes that have restarted.
TEST_F(a_request_that_crashes_endpoints, IsRememberedWhenAllNodesRestart) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    a_loaded_fleet nodes(seed);
    nodes->AddCulprit(kCulprit, 150ms);
    nodes->Pass(15s);
    const std::size_t crashes = nodes->RecordOf(kCulprit).crashes.size();
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes->Restart(i);
    }
    nodes->Pass(10s);
    EXPECT_LE(nodes->RecordOf(kCulprit).crashes.size(), crashes + 1)
        << "seed " << seed;
  }
}

TEST_F(a_request_that_crashes_endpoints,
       IsRememberedWhenAllNodesRestartWithoutTheStore) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    a_loaded_fleet nodes(seed);
    nodes->AddCulprit(kCulprit, 150ms);
    nodes->Pass(15s);
    const std::size_t crashes = nodes->RecordOf(kCulprit).crashes.size();
    nodes->store().BeginOutage(outage_kind::kRefuses);
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes->Restart(i);
    }
    nodes->Pass(5s);
    nodes->Disturb();
    nodes->store().EndOutage(0);
    nodes->Pass(10s);
    EXPECT_LE(nodes->RecordOf(kCulprit).crashes.size(), crashes + 1)
        << "seed " << seed;
    EXPECT_LE(nodes->RecordOf(kCulprit).RunsAfterThirdCrash(kCalmAfter),
              kMaxLaterRuns)
        << "seed " << seed;
    EXPECT_GT(nodes->RecordOf(kCulprit).quarantined, 100) << "seed " << seed;
  }
}

TEST_F(a_request_that_crashes_endpoints,
       IsRememberedWhenTheStoreComesBackOlder) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    a_loaded_fleet nodes(seed);
    const std::uint64_t revision = nodes->store().revision();
    nodes->AddCulprit(kCulprit, 150ms);
    nodes->Pass(15s);
    const std::size_t crashes = nodes->RecordOf(kCulprit).crashes.size();
    nodes->store().BeginOutage(outage_kind::kRefuses);
    nodes->Pass(1s);
    nodes->Disturb();
    nodes->store().EndOutage(nodes->store().revision() - revision);
    nodes->Pass(5s);
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes->Restart(i);
    }
    nodes->Pass(10s);
    EXPECT_LE(nodes->RecordOf(kCulprit).crashes.size(), crashes + 1)
        << "seed " << seed;
  }
}

TEST_F(a_request_that_crashes_endpoints, IsRememberedByPeersWithoutTheStore) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    a_loaded_fleet nodes(seed);
    nodes->store().BeginOutage(outage_kind::kRefuses);
    nodes->AddCulprit(kCulprit, 150ms);
    nodes->Pass(15s);
    EXPECT_LE(nodes->RecordOf(kCulprit).RunsAfterThirdCrash(kCalmAfter),
              kMaxLaterRuns)
        << "seed " << seed;
    const std::size_t crashes = nodes->RecordOf(kCulprit).crashes.size();
    // One after the other, so that the others know what each has forgotten.
    for (std::size_t i = 0; i < kNodes; ++i) {
      nodes->Restart(i);
      nodes->Pass(3s);
    }
    EXPECT_LE(nodes->RecordOf(kCulprit).crashes.size(), crashes + 2)
        << "seed " << seed;
  }
}

class several_requests_that_crash_endpoints : public testing::Test {};

TEST_F(several_requests_that_crash_endpoints, AreEachStopped) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    a_loaded_fleet nodes(seed);
    for (std::uint64_t i = 0; i < 4; ++i) {
      nodes->AddCulprit(request_digest(1000 + i), 300ms);
    }
    nodes->Pass(40s);
    for (std::uint64_t i = 0; i < 4; ++i) {
      EXPECT_LE(nodes->RecordOf(request_digest(1000 + i))
                    .RunsAfterThirdCrash(kCalmAfter),
                kMaxLaterRuns)
          << "seed " << seed << ", request " << i;
    }
  }
}

/// Fifty seeds each, from the parameter on.
class innocent_requests : public testing::TestWithParam<std::uint64_t> {
 protected:
  static constexpr std::uint64_t kSeeds = 50;
};

TEST_P(innocent_requests, AreNotQuarantinedBesideOneThatCrashesEndpoints) {
  for (std::uint64_t seed = GetParam(); seed < GetParam() + kSeeds; ++seed) {
    a_loaded_fleet nodes(seed, 4ms);
    nodes->set_hot_share(5);
    nodes->AddCulprit(kCulprit, 100ms);
    nodes->Pass(6s);
    EXPECT_EQ(nodes->innocents_quarantined(), 0) << "seed " << seed;
  }
}

TEST_P(innocent_requests, AreNotQuarantinedForCrashesThatNoRequestCauses) {
  for (std::uint64_t seed = GetParam(); seed < GetParam() + kSeeds; ++seed) {
    a_loaded_fleet nodes(seed, 10ms);
    nodes->set_hot_share(5);
    for (std::size_t i = 0; i < 40; ++i) {
      nodes->CrashEndpoint(i % kNodes);
      nodes->Pass(200ms);
    }
    EXPECT_EQ(nodes->innocents_quarantined(), 0) << "seed " << seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         innocent_requests,
                         testing::Values(1, 51, 101, 151));

}  // namespace
}  // namespace auburnfold
