#include "LibDecision/Routing/router.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "LibDecision/Routing/endpoint_subset.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class a_router : public testing::Test {
 protected:
  a_router() {
    event_context context(now_, 1, timers_);
    members_.Start(context, {.node = node_id(100),
                             .run = incarnation(1),
                             .domain = domain_name("d1")});
  }

  void Add(std::uint64_t node, const std::string& domain, int run = 1) {
    event_context context(now_, 1, timers_);
    members_.ApplyIfNewer(context, {.node = node_id(node),
                                    .run = incarnation(run),
                                    .domain = domain_name(domain),
                                    .service = service_name("lots")});
  }

  std::uint64_t Choose() {
    event_context context(now_, ++entropy_, timers_);
    const member_record* chosen =
        router_.Choose(context, service_name("lots"), {});
    return chosen == nullptr ? 0 : chosen->node.value();
  }

  void Finish(std::uint64_t node,
              duration elapsed,
              std::optional<error_kind> error = std::nullopt) {
    event_context context(now_, ++entropy_, timers_);
    outcome result;
    result.error = error;
    if (!error) {
      result.peer = answer_metadata();
    }
    router_.OnSent(context, *members_.Find(node_id(node)));
    router_.OnFinished(context, node_id(node), result, elapsed);
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
  policy_table rows_;
  membership members_{rows_, discovery_mode::kGossip};
  router router_{members_};
  std::uint64_t entropy_ = 0;
};

TEST_F(a_router, FindsNothingIfNoEndpointIsReady) {
  EXPECT_EQ(Choose(), 0U);
}

TEST_F(a_router, PrefersItsFailureDomainWhileThatIsNotWorse) {
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

TEST_F(a_router, StopsUsingAnEndpointThatFailsAndReturnsToIt) {
  Add(1, "d2");
  Add(2, "d2");
  for (int i = 0; i < 3; ++i) {
    Finish(1, 1ms, error_kind::kEndpointUnreachable);
  }
  EXPECT_EQ(Shares(100)[1], 0);
  now_ += 1s;
  EXPECT_GT(Shares(100)[1], 0);
}

TEST_F(a_router, DoesNotHoldTheFailuresOfAnEarlierRunAgainstAnEndpoint) {
  Add(1, "d1");
  Add(2, "d1");
  Choose();
  for (int i = 0; i < 3; ++i) {
    Finish(1, 1ms, error_kind::kAnswerLost);
  }
  EXPECT_EQ(Shares(50).count(1), 0U);
  Add(1, "d1", 2);
  now_ += 100ms;
  EXPECT_GT(Shares(50)[1], 0);
}

TEST_F(a_router, NeverEjectsMoreThanHalf) {
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

TEST_F(a_router, DoesNotEjectAnEndpointThatRefuses) {
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
  records.reserve(64);
  for (std::uint64_t node = 1; node <= 64; ++node) {
    records.push_back({.node = node_id(node), .domain = domain_name("d")});
  }
  std::vector<const member_record*> ready;
  ready.reserve(64);
  for (const member_record& record : records) {
    ready.push_back(&record);
  }
  std::map<std::uint64_t, int> callers;
  for (std::uint64_t caller = 1000; caller < 1000 + 7800; ++caller) {
    const auto subset =
        ChooseSubset(node_id(caller), domain_name("other"), ready);
    EXPECT_EQ(subset.size(), kMaxSubsetSize);
    for (const member_record& record : subset) {
      ++callers[record.node.value()];
    }
  }
  const int mean = 7800 * static_cast<int>(kMaxSubsetSize) / 64;
  for (const auto& [node, count] : callers) {
    EXPECT_NEAR(count, mean, 0.1 * mean) << node;
  }
}

TEST(ASubset, ChangesByAtMostOneWhenOneEndpointLeaves) {
  std::vector<member_record> records;
  records.reserve(64);
  std::vector<const member_record*> ready;
  ready.reserve(64);
  for (std::uint64_t node = 1; node <= 64; ++node) {
    records.push_back({.node = node_id(node), .domain = domain_name("d")});
  }
  for (const member_record& record : records) {
    ready.push_back(&record);
  }
  std::set<std::uint64_t> before;
  for (const auto& record :
       ChooseSubset(node_id(7), domain_name("other"), ready)) {
    before.insert(record.node.value());
  }
  ready.pop_back();
  std::size_t kept = 0;
  for (const auto& record :
       ChooseSubset(node_id(7), domain_name("other"), ready)) {
    kept += before.count(record.node.value());
  }
  EXPECT_GE(kept, kMaxSubsetSize - 1);
}

}  // namespace
}  // namespace auburnfold
