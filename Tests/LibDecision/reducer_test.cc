#include "LibDecision/reducer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

template <class wanted>
std::optional<wanted> FindEffect(const effects& made) {
  for (const effect& each : made) {
    if (const auto* found = std::get_if<wanted>(&each)) {
      return *found;
    }
  }
  return std::nullopt;
}

class a_node_beside_its_endpoint : public testing::Test {
 protected:
  a_node_beside_its_endpoint() {
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    Happen(endpoint_reported{.service = service_name("listings")});
  }

  effects Happen(event_content content) {
    return Reduce(state_, {now_, 42, std::move(content)});
  }

  static request_metadata Lookup() {
    request_metadata metadata;
    metadata.service = service_name("listings");
    metadata.request_class = class_name("lookup");
    metadata.time_left = 250ms;
    return metadata;
  }

  node_state state_;
  instant now_{};
};

class a_call_that_arrives : public a_node_beside_its_endpoint {};

TEST_F(a_call_that_arrives, IsForwardedToTheNodeBesideAnEndpointOfItsService) {
  const effects made =
      Happen(call_arrived{.call = call_id(1), .metadata = Lookup()});
  const auto sent = FindEffect<send_attempt>(made);
  ASSERT_TRUE(sent);
  EXPECT_EQ(sent->node, node_id(1));
  EXPECT_EQ(sent->expected_run, incarnation(7));
}

TEST_F(a_call_that_arrives, IsRefusedAsNotRunIfNobodyOffersItsService) {
  request_metadata metadata = Lookup();
  metadata.service = service_name("nobody");
  const auto refused = FindEffect<refuse_call>(
      Happen(call_arrived{.call = call_id(1), .metadata = metadata}));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->kind, error_kind::kUnknownService);
  EXPECT_EQ(refused->execution, execution_state::kNotExecuted);
}

TEST_F(a_call_that_arrives, IsAnsweredUnknownAtOnceWhenItsDeadlinePasses) {
  Happen(call_arrived{.call = call_id(1), .metadata = Lookup()});
  now_ += 250ms;
  const auto refused = FindEffect<refuse_call>(Happen(time_passed{}));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->kind, error_kind::kAnswerTimeout);
  EXPECT_EQ(refused->execution, execution_state::kUnknown);
}

class a_node_that_is_behind : public a_node_beside_its_endpoint {
 protected:
  bool HasLogged(duration delay) {
    for (const effect& each : Happen(loop_delay_measured{delay})) {
      const auto* logged = std::get_if<log_decision>(&each);
      if (logged != nullptr &&
          logged->record.kind == decision_kind::kLoopDelayed) {
        return logged->record.waited == delay;
      }
    }
    return false;
  }
};

TEST_F(a_node_that_is_behind, LogsByHowMuch) {
  EXPECT_TRUE(HasLogged(250ms));
  EXPECT_FALSE(HasLogged(10ms));
}

class work_that_arrives : public a_node_beside_its_endpoint {};

TEST_F(work_that_arrives, RunsAtTheEndpointAndItsAnswerIsRelayed) {
  EXPECT_TRUE(FindEffect<execute_work>(
      Happen(work_arrived{.work = work_id(1), .metadata = Lookup()})));
  Happen(work_sent{work_id(1), connection_id(1)});
  EXPECT_TRUE(
      FindEffect<relay_work_answer>(Happen(work_finished{work_id(1), {}})));
}

TEST_F(work_that_arrives, RunsUntilCallersCanKnowThatTheEndpointLeaves) {
  Happen(endpoint_reported{.service = service_name("listings"),
                           .state = endpoint_state::kLeaving});
  now_ += 1499ms;
  EXPECT_TRUE(FindEffect<execute_work>(
      Happen(work_arrived{.work = work_id(1), .metadata = Lookup()})));
}

TEST_F(work_that_arrives, IsRefusedAsNotRunOnceTheEndpointHasLongBeenLeaving) {
  Happen(endpoint_reported{.service = service_name("listings"),
                           .state = endpoint_state::kLeaving});
  now_ += 1500ms;
  const auto refused = FindEffect<refuse_work>(
      Happen(work_arrived{.work = work_id(1), .metadata = Lookup()}));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->kind, error_kind::kEndpointLeaving);
  EXPECT_EQ(refused->execution, execution_state::kNotExecuted);
}

class a_planned_stop : public a_node_beside_its_endpoint {};

TEST_F(a_planned_stop, WaitsForTheWorkThatRuns) {
  request_metadata metadata = Lookup();
  metadata.time_left = 5s;
  Happen(work_arrived{.work = work_id(1), .metadata = metadata});
  EXPECT_FALSE(FindEffect<stop_process>(Happen(stop_requested{})));
  now_ += 1500ms;
  EXPECT_FALSE(FindEffect<stop_process>(Happen(time_passed{})));
  EXPECT_TRUE(FindEffect<stop_process>(Happen(work_finished{work_id(1), {}})));
}

TEST_F(a_planned_stop, RunsWorkOfCallersThatHaveNotHeardOfIt) {
  Happen(stop_requested{});
  EXPECT_TRUE(FindEffect<execute_work>(
      Happen(work_arrived{.work = work_id(1), .metadata = Lookup()})));
  EXPECT_FALSE(FindEffect<stop_process>(Happen(work_finished{work_id(1), {}})));
  now_ += 1500ms;
  EXPECT_TRUE(FindEffect<stop_process>(Happen(time_passed{})));
}

}  // namespace
}  // namespace auburnfold
