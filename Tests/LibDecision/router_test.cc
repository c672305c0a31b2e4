#include "LibDecision/Routing/router.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "LibDecision/Routing/endpoint_subset.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class ARouter : public testing::Test {
 protected:
  ARouter() {
    step now(now_, 1, timers_);
    members_.Start(now, {.node = node_id(100),
                         .run = incarnation(1),
                         .domain = domain_name("d1")});
  }

  void Add(std::uint64_t node, const std::string& domain) {
    step now(now_, 1, timers_);
    members_.Take(now, {.node = node_id(node),
                        .run = incarnation(1),
                        .domain = domain_name(domain),
                        .service = service_name("lots")});
  }

  std::uint64_t Choose() {
    step now(now_, ++entropy_, timers_);
    const member_record* chosen = router_.Choose(now, service_name("lots"), {});
    return chosen == nullptr ? 0 : chosen->node.value();
  }

  void Finish(std::uint64_t node,
              duration elapsed,
              std::optional<error_kind> error = std::nullopt) {
    step now(now_, ++entropy_, timers_);
    outcome result;
    result.error = error;
    if (!error) {
      result.peer = answer_facts();
    }
    router_.OnSent(now, node_id(node));
    router_.OnFinished(now, node_id(node), result, elapsed);
  }

  std::map<std::uint64_t, int> Shares(int calls) {
    std::map<std::uint64_t, int> shares;
    for (int i = 0; i < calls; ++i) {
      ++shares[Choose()];
    }
    return shares;
  }

  instant now_{};
  timer_service timers_;
  table rows_;
  membership members_{rows_};
  router router_{members_};
  std::uint64_t entropy_ = 0;
};

TEST_F(ARouter, FindsNothingIfNoEndpointIsReady) {
  EXPECT_EQ(Choose(), 0U);
}

TEST_F(ARouter, PrefersItsFailureDomainWhileThatIsNotWorse) {
  Add(1, "d1");
  Add(2, "d2");
  Finish(1, 10ms);
  Finish(2, 10ms);
  EXPECT_EQ(Shares(100)[1], 100);
  for (int i = 0; i < 50; ++i) {
    Finish(1, 40ms);
  }
  EXPECT_GT(Shares(100)[2], 50);
}

TEST_F(ARouter, StopsUsingAnEndpointThatFailsAndReturnsToIt) {
  Add(1, "d2");
  Add(2, "d2");
  for (int i = 0; i < 3; ++i) {
    Finish(1, 1ms, error_kind::kEndpointUnreachable);
  }
  EXPECT_EQ(Shares(100)[1], 0);
  now_ += 1s;
  EXPECT_GT(Shares(100)[1], 0);
}

TEST_F(ARouter, NeverEjectsMoreThanHalf) {
  for (std::uint64_t node = 1; node <= 4; ++node) {
    Add(node, "d2");
  }
  Choose();
  for (std::uint64_t node = 1; node <= 4; ++node) {
    for (int i = 0; i < 3; ++i) {
      Finish(node, 1ms, error_kind::kAnswerLost);
    }
  }
  EXPECT_EQ(Shares(200).size(), 2U);
}

TEST_F(ARouter, DoesNotEjectAnEndpointThatRefuses) {
  Add(1, "d2");
  Add(2, "d2");
  for (int i = 0; i < 20; ++i) {
    Finish(1, 1ms, error_kind::kOverloaded);
  }
  now_ += 50ms;
  EXPECT_GT(Shares(100)[1], 0);
}

TEST(ASubset, IsStableBoundedAndEvenOverManyCallers) {
  std::vector<member_record> records;
  for (std::uint64_t node = 1; node <= 64; ++node) {
    records.push_back({.node = node_id(node), .domain = domain_name("d")});
  }
  std::vector<const member_record*> ready;
  for (const member_record& record : records) {
    ready.push_back(&record);
  }
  std::map<std::uint64_t, int> callers;
  for (std::uint64_t caller = 1000; caller < 1000 + 7800; ++caller) {
    const auto subset = SubsetFor(node_id(caller), domain_name("other"), ready);
    EXPECT_EQ(subset.size(), kSubsetSize);
    for (const member_record& record : subset) {
      ++callers[record.node.value()];
    }
  }
  const int mean = 7800 * static_cast<int>(kSubsetSize) / 64;
  for (const auto& [node, count] : callers) {
    EXPECT_NEAR(count, mean, mean / 10) << node;
  }
}

TEST(ASubset, ChangesByAtMostOneWhenOneEndpointLeaves) {
  std::vector<member_record> records;
  std::vector<const member_record*> ready;
  for (std::uint64_t node = 1; node <= 64; ++node) {
    records.push_back({.node = node_id(node), .domain = domain_name("d")});
  }
  for (const member_record& record : records) {
    ready.push_back(&record);
  }
  std::set<std::uint64_t> before;
  for (const auto& record :
       SubsetFor(node_id(7), domain_name("other"), ready)) {
    before.insert(record.node.value());
  }
  ready.pop_back();
  std::size_t kept = 0;
  for (const auto& record :
       SubsetFor(node_id(7), domain_name("other"), ready)) {
    kept += before.count(record.node.value());
  }
  EXPECT_GE(kept, kSubsetSize - 1);
}

}  // namespace
}  // namespace auburnfold
