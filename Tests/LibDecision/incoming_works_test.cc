#include <gtest/gtest.h>

#include <optional>

#include "LibDecision/Idempotency/issued_key.h"
#include "LibDecision/Pressure/rank.h"
#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

template <class wanted>
std::optional<wanted> Find(const effects& made) {
  for (const effect& each : made) {
    if (const auto* found = std::get_if<wanted>(&each)) {
      return *found;
    }
  }
  return std::nullopt;
}

class a_home : public testing::Test {
 protected:
  explicit a_home(const node_options& options = {}) : state_(options) {
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    Report(5);
  }

  effects Happen(event_content content) {
    return Reduce(state_, {now_, ++entropy_, std::move(content)});
  }

  effects Report(std::uint64_t run) {
    return Happen(endpoint_reported{.service = service_name("bookings"),
                                    .run = incarnation(run)});
  }

  static request_metadata Booking() {
    request_metadata metadata;
    metadata.service = service_name("bookings");
    metadata.request_class = class_name("book");
    metadata.time_left = 2min;
    return metadata;
  }

  effects Arrive(std::uint64_t work,
                 const request_metadata& metadata = Booking()) {
    return Happen(work_arrived{.work = work_id(work),
                               .metadata = metadata,
                               .expected_run = incarnation(7)});
  }

  void Run(std::uint64_t work, const request_metadata& metadata = Booking()) {
    ASSERT_TRUE(Find<execute_work>(Arrive(work, metadata)));
    Happen(work_sent{work_id(work), connection_id(1)});
  }

  node_state state_;
  instant now_{};
  std::uint64_t entropy_ = 0;
};

class work_that_arrives_late : public a_home {};

// Replays an endpoint that turns requests away at random, called by many nodes
// each of which calls it seldom.
class work_that_is_turned_away : public a_home {
 protected:
  work_that_is_turned_away() : a_home({.retries = retry_mode::kArrivals}) {
    for (std::uint64_t work = 1; work <= 200; ++work) {
      Run(work, Important());
      Happen(work_finished{work_id(work), {}});
    }
  }

  static request_metadata Important(std::uint16_t allowance = 1) {
    request_metadata metadata = Booking();
    metadata.priority = kHighestPriority;
    metadata.allowance = allowance;
    return metadata;
  }

  bool TurnAway(std::uint64_t work, const request_metadata& metadata) {
    Run(work, metadata);
    const effects made =
        Happen(work_finished{work_id(work),
                             {.error = error_kind::kEndpointBusy,
                              .execution = execution_state::kNotExecuted}});
    return Find<refuse_work>(made)->metadata.grants_retry;
  }
};

TEST_F(work_that_is_turned_away, MayBeSentAgainAsOftenAsTheEndpointBears) {
  int granted = 0;
  for (std::uint64_t work = 1001; work <= 1100; ++work) {
    granted += TurnAway(work, Important()) ? 1 : 0;
  }
  EXPECT_GE(granted, 10);
  EXPECT_LE(granted, 30);
}

TEST_F(work_that_is_turned_away, IsNotGrantedWhatItsCallerCannotUse) {
  EXPECT_FALSE(TurnAway(1001, Important(0)));
  EXPECT_TRUE(TurnAway(1002, Important()));
}

TEST_F(work_that_arrives_late, ForAnEarlierRunOfTheNodeIsNotRun) {
  const auto refused =
      Find<refuse_work>(Happen(work_arrived{.work = work_id(1),
                                            .metadata = Booking(),
                                            .expected_run = incarnation(6)}));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->kind, error_kind::kEndpointUnreachable);
  EXPECT_EQ(refused->execution, execution_state::kNotExecuted);
}

TEST_F(work_that_arrives_late, IsCancelledIfItsDeadlinePassedBeforeItWasSent) {
  request_metadata metadata = Booking();
  metadata.time_left = 10ms;
  ASSERT_TRUE(Find<execute_work>(Arrive(1, metadata)));
  now_ += 10ms;
  const effects made = Happen(work_sent{work_id(1), connection_id(1)});
  EXPECT_TRUE(Find<cancel_work>(made));
  EXPECT_EQ(Find<refuse_work>(made)->execution, execution_state::kUnknown);
}

class work_with_a_key : public a_home {
 protected:
  work_with_a_key() {
    request_metadata asking = Booking();
    asking.purpose = request_purpose::kIssueKey;
    keyed_ = Booking();
    keyed_.key = Find<answer_with_key>(Arrive(100, asking))->key;
  }

  request_metadata keyed_;
};

TEST_F(work_with_a_key, RunsOnWithoutItsCallerAndIsReplayed) {
  Run(1, keyed_);
  EXPECT_FALSE(Find<cancel_work>(Happen(work_cancelled{work_id(1)})));
  const auto progress = Find<refuse_work>(Arrive(2, keyed_));
  EXPECT_EQ(progress->kind, error_kind::kKeyInProgress);
  EXPECT_EQ(progress->execution, execution_state::kUnknown);
  const effects ended = Happen(work_finished{work_id(1), {}});
  EXPECT_TRUE(Find<cache_answer>(ended));
  EXPECT_FALSE(Find<relay_work_answer>(ended));
  EXPECT_TRUE(Find<replay_answer>(Arrive(3, keyed_)));
}

TEST_F(work_with_a_key, IsReplayedByANodeThatStops) {
  Run(1, keyed_);
  Run(2);
  Happen(work_finished{work_id(1), {}});
  Happen(stop_requested{});
  EXPECT_TRUE(Find<replay_answer>(Arrive(3, keyed_)));
}

TEST_F(work_with_a_key, MayBeSentAgainAfterARefusalByTheEndpoint) {
  Run(1, keyed_);
  Happen(work_finished{
      work_id(1), {error_kind::kOverloaded, execution_state::kNotExecuted}});
  EXPECT_TRUE(Find<execute_work>(Arrive(2, keyed_)));
}

TEST_F(work_with_a_key, IsNotRunWithAKeyOfTheClientsOwn) {
  keyed_.key = idempotency_key("order-77");
  const auto refused = Find<refuse_work>(Arrive(1, keyed_));
  EXPECT_EQ(refused->kind, error_kind::kKeyNotIssued);
  EXPECT_EQ(refused->execution, execution_state::kNotExecuted);
}

class an_endpoint : public a_home {};

TEST_F(an_endpoint, ThatIsReplacedEndsItsWorkUnknownAtOnce) {
  Run(1);
  const auto refused = Find<refuse_work>(Report(6));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->execution, execution_state::kUnknown);
}

TEST_F(an_endpoint, ThatWasReplacedIsNotBelievedWhenItWakes) {
  Report(6);
  Run(1);
  EXPECT_FALSE(Find<refuse_work>(Report(5)));
}

TEST_F(an_endpoint, ThatIsSilentGetsNoNewWorkUntilItReports) {
  now_ += 5s;
  const auto refused = Find<refuse_work>(Arrive(1));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->kind, error_kind::kNoEndpoint);
  Report(5);
  EXPECT_TRUE(Find<execute_work>(Arrive(2)));
}

TEST_F(an_endpoint, ThatAnswersIsAliveWithoutReports) {
  now_ += 4s;
  Run(1);
  Happen(work_finished{work_id(1), {}});
  now_ += 4s;
  EXPECT_TRUE(Find<execute_work>(Arrive(2)));
}

class a_stop : public a_home {
 protected:
  a_stop() {
    Run(1);
    Happen(stop_requested{});
  }

  void HearOfAnotherEndpoint() {
    member_record other{.node = node_id(2),
                        .run = incarnation(1),
                        .version = 1,
                        .service = service_name("bookings")};
    peer_message news{.from = node_id(2), .from_run = incarnation(1)};
    news.content = member_update{{other}};
    Happen(message_received{news});
  }

  effects Call(std::uint64_t call, std::optional<work_id> parent) {
    return Happen(call_arrived{.call = call_id(call),
                               .parent = parent,
                               .has_parent = parent.has_value(),
                               .metadata = Booking()});
  }
};

TEST_F(a_stop, TakesCallsFromOutsideUntilCallersCanKnowOfIt) {
  HearOfAnotherEndpoint();
  EXPECT_TRUE(Find<send_attempt>(Call(1, std::nullopt)));
}

TEST_F(a_stop, RefusesCallsFromOutsideThereafter) {
  now_ += 1500ms;
  const auto refused = Find<refuse_call>(Call(1, std::nullopt));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->kind, error_kind::kNodeStopping);
  EXPECT_EQ(refused->execution, execution_state::kNotExecuted);
}

TEST_F(a_stop, CarriesOutDeeperCallsOfRunningWork) {
  HearOfAnotherEndpoint();
  now_ += 1500ms;
  EXPECT_TRUE(Find<send_attempt>(Call(1, work_id(1))));
}

TEST_F(a_stop, SaysWhatItCutAtItsLimit) {
  now_ += 25s;
  const effects made = Happen(time_passed{});
  EXPECT_EQ(Find<refuse_work>(made)->execution, execution_state::kUnknown);
  EXPECT_EQ(Find<stop_process>(made)->aborted_requests, 1U);
}

class a_call : public a_home {
 protected:
  attempt_id Send() {
    return Find<send_attempt>(
               Happen(call_arrived{.call = call_id(1), .metadata = Booking()}))
        ->attempt;
  }
};

TEST_F(a_call, WhoseBytesLeftIsUnknownWithoutAPeersWord) {
  const attempt_id attempt = Send();
  Happen(attempt_sent{attempt, connection_id(1)});
  const auto refused = Find<refuse_call>(Happen(attempt_finished{
      attempt,
      {error_kind::kEndpointUnreachable, execution_state::kNotExecuted}}));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->execution, execution_state::kUnknown);
}

TEST_F(a_call, WithTheKeyOfAReplacedHomeIsUnknown) {
  request_metadata metadata = Booking();
  metadata.key = Format({{node_id(1), incarnation(6)}, 1, 2});
  const auto refused = Find<refuse_call>(
      Happen(call_arrived{.call = call_id(1), .metadata = metadata}));
  ASSERT_TRUE(refused);
  EXPECT_EQ(refused->kind, error_kind::kKeyHomeGone);
  EXPECT_EQ(refused->execution, execution_state::kUnknown);
}

}  // namespace
}  // namespace auburnfold
