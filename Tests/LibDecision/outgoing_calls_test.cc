#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class a_node_that_calls : public testing::Test {
 protected:
  explicit a_node_that_calls(const node_options& options = {})
      : state_(options) {
    Happen(node_started{.node = node_id(1), .run = incarnation(1)});
    member_update members;
    for (std::uint64_t node = 2; node <= 3; ++node) {
      members.records.push_back({.node = node_id(node),
                                 .run = incarnation(1),
                                 .version = 1,
                                 .service = service_name("lots")});
    }
    Happen(message_received{{.from = node_id(2), .content = members}});
    row_update rows;
    rows.rows.push_back({.service = service_name("lots"),
                         .request_class = class_name("lookup"),
                         .version = row_version(1),
                         .settings = {.is_idempotent = true}});
    Happen(message_received{{.from = node_id(2), .content = rows}});
  }

  effects Happen(event_content content) {
    return Reduce(state_, {now_, ++entropy_, std::move(content)});
  }

  template <class wanted>
  static std::optional<wanted> Find(const effects& made) {
    for (const effect& each : made) {
      if (const auto* found = std::get_if<wanted>(&each)) {
        return *found;
      }
    }
    return std::nullopt;
  }

  effects Call(std::uint16_t client_attempt = 1, std::uint8_t priority = 1) {
    call_arrived arrived{.call = call_id(++calls_)};
    arrived.metadata.root = request_id(std::to_string(calls_));
    arrived.metadata.service = service_name("lots");
    arrived.metadata.request_class = class_name("lookup");
    arrived.metadata.time_left = 1s;
    arrived.metadata.client_attempt = client_attempt;
    arrived.metadata.priority = priority;
    return Happen(arrived);
  }

  effects Refuse(attempt_id attempt, const answer_metadata& metadata) {
    outcome refused{error_kind::kOverloaded, execution_state::kNotExecuted};
    refused.peer = metadata;
    return Happen(attempt_finished{attempt, refused});
  }

  node_state state_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  std::uint64_t calls_ = 0;
};

TEST_F(a_node_that_calls, TriesAnotherEndpointWithinItsAllowance) {
  const auto first = Find<send_attempt>(Call());
  const auto second =
      Find<send_attempt>(Refuse(first->attempt, {.allowance_left = 2}));
  ASSERT_TRUE(second);
  EXPECT_NE(second->node, first->node);
  EXPECT_EQ(second->metadata.allowance, 1);
}

TEST_F(a_node_that_calls, TakesNoMoreAllowanceBackThanItGave) {
  const auto first = Find<send_attempt>(Call());
  const auto second =
      Find<send_attempt>(Refuse(first->attempt, {.allowance_left = 90}));
  ASSERT_TRUE(second);
  EXPECT_EQ(second->metadata.allowance, 1);
}

TEST_F(a_node_that_calls, DoesNotRetryForAClientThatResends) {
  const auto first = Find<send_attempt>(Call(2));
  EXPECT_EQ(first->metadata.allowance, 0);
  EXPECT_TRUE(Find<refuse_call>(Refuse(first->attempt, {})));
}

TEST_F(a_node_that_calls, DoesNotRetryIntoAServiceThatRefusesAsAWhole) {
  for (int i = 0; i < 20; ++i) {
    const auto sent = Find<send_attempt>(Call(2));
    Refuse(sent->attempt, {});
  }
  const auto sent = Find<send_attempt>(Call());
  EXPECT_TRUE(Find<refuse_call>(Refuse(sent->attempt, {.allowance_left = 2})));
}

// Replays a service whose endpoints all turn requests away at random for some
// seconds after a calm time.
class a_node_that_counts_arrivals : public a_node_that_calls {
 protected:
  a_node_that_counts_arrivals()
      : a_node_that_calls({.retries = retry_mode::kArrivals}) {
    member_update more;
    for (std::uint64_t node = 4; node <= 5; ++node) {
      more.records.push_back({.node = node_id(node),
                              .run = incarnation(1),
                              .version = 1,
                              .service = service_name("lots")});
    }
    Happen(message_received{{.from = node_id(2), .content = more}});
    for (int i = 0; i < 1000; ++i) {
      Answer(Call());
    }
  }

  void Answer(const effects& made) {
    outcome whole;
    whole.peer = answer_metadata{};
    Happen(attempt_finished{Find<send_attempt>(made)->attempt, whole});
  }

  // The endpoints turn `call` away until it is given up. Returns the nodes to
  // which it was sent.
  std::vector<node_id> TurnAway(effects made) {
    std::vector<node_id> nodes;
    while (const auto sent = Find<send_attempt>(made)) {
      nodes.push_back(sent->node);
      outcome busy{error_kind::kEndpointBusy, execution_state::kNotExecuted};
      busy.peer = answer_metadata{.allowance_left = sent->metadata.allowance};
      made = Happen(attempt_finished{sent->attempt, busy});
    }
    EXPECT_EQ(Find<refuse_call>(made)->execution,
              execution_state::kNotExecuted);
    return nodes;
  }
};

TEST_F(a_node_that_counts_arrivals, TriesAgainWhereItWasTurnedAway) {
  const std::vector<node_id> nodes = TurnAway(Call(1, kHighestPriority));
  EXPECT_GE(nodes.size(), 8U);
  EXPECT_LE(nodes.size(), 1U + kMaxRetriesPerCallTree);
}

TEST_F(a_node_that_counts_arrivals, ShowsACallToNoMoreEndpointsThanItsRowSays) {
  const std::vector<node_id> nodes = TurnAway(Call(1, kHighestPriority));
  EXPECT_EQ(std::set<node_id>(nodes.begin(), nodes.end()).size(), 3U);
  for (std::size_t i = 1; i < nodes.size(); ++i) {
    EXPECT_NE(nodes[i], nodes[i - 1]);
  }
}

TEST_F(a_node_that_counts_arrivals, GoesOnWhereTheEndpointsNodeGrantsIt) {
  while (TurnAway(Call(1, kHighestPriority)).size() > 1) {
  }
  const auto sent = Find<send_attempt>(Call(1, kHighestPriority));
  outcome busy{error_kind::kEndpointBusy, execution_state::kNotExecuted};
  busy.peer = answer_metadata{.allowance_left = sent->metadata.allowance,
                              .grants_retry = true};
  EXPECT_TRUE(
      Find<send_attempt>(Happen(attempt_finished{sent->attempt, busy})));
}

TEST_F(a_node_that_counts_arrivals, SendsNoMoreThanATenthAgainByItself) {
  std::size_t again = 0;
  for (int i = 0; i < 1000; ++i) {
    again += TurnAway(Call(1, kHighestPriority)).size() - 1;
  }
  EXPECT_GE(again, 75U);
  EXPECT_LE(again, 100U);
}

TEST_F(a_node_that_calls, RefusesEarlyBelowTheLevelThatItHeard) {
  const auto sent = Find<send_attempt>(Call(2));
  Refuse(sent->attempt, {.level = 4 * kRanksPerPriority});
  int sent_on = 0;
  for (int i = 0; i < 500; ++i) {
    const effects made = Call(2);
    if (const auto refused = Find<refuse_call>(made)) {
      EXPECT_EQ(refused->kind, error_kind::kOverloaded);
      EXPECT_EQ(refused->execution, execution_state::kNotExecuted);
      EXPECT_GE(refused->retry_after, 50ms);
    } else {
      ++sent_on;
    }
  }
  // A few go through, so that a recovery is noticed.
  EXPECT_GT(sent_on, 0);
  EXPECT_LE(sent_on, 25);
  EXPECT_TRUE(Find<send_attempt>(Call(2, 7)));
}

TEST_F(a_node_that_calls, SendsEverythingAgainOnceTheLevelIsOld) {
  const auto sent = Find<send_attempt>(Call(2));
  Refuse(sent->attempt, {.level = 4 * kRanksPerPriority});
  now_ += 1s;
  EXPECT_TRUE(Find<send_attempt>(Call(2)));
}

}  // namespace
}  // namespace auburnfold
