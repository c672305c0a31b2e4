#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "LibDecision/Quarantine/crash_ledger.h"
#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

const request_digest kCulprit(666);

// A node whose endpoint crashes while it runs given requests.
class an_endpoints_node : public testing::Test {
 protected:
  an_endpoints_node() : state_({.limit = limit_mode::kAnnounced}) {
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    Report(endpoint_state::kReady);
  }

  effects Happen(event_content content) {
    now_ += 1ms;
    return Reduce(state_, {now_, ++entropy_, std::move(content)});
  }

  void Report(endpoint_state state) {
    Happen(endpoint_reported{.service = service_name("listings"),
                             .state = state,
                             .run = incarnation(5),
                             .slots = 18,
                             .name = endpoint_name("i-1")});
  }

  /// A request arrives; returns why it is refused.
  std::optional<error_kind> Arrive(request_digest digest) {
    request_metadata metadata;
    metadata.service = service_name("listings");
    metadata.request_class = class_name("browse");
    metadata.own_id = request_id("request-" + std::to_string(++last_work_));
    metadata.digest = digest;
    metadata.time_left = 5s;
    const effects made = Happen(work_arrived{.work = work_id(last_work_),
                                             .from = node_id(2),
                                             .metadata = metadata,
                                             .expected_run = incarnation(7)});
    for (const effect& each : made) {
      if (const auto* refused = std::get_if<refuse_work>(&each)) {
        EXPECT_EQ(refused->execution, execution_state::kNotExecuted);
        return refused->kind;
      }
    }
    Happen(work_sent{work_id(last_work_), connection_id(1)});
    running_.push_back(work_id(last_work_));
    return std::nullopt;
  }

  /// The endpoint crashes, and comes back.
  void Crash() {
    for (const work_id work : std::exchange(running_, {})) {
      Happen(work_finished{work,
                           {.error = error_kind::kEndpointCrashed,
                            .execution = execution_state::kUnknown}});
    }
    now_ += 1s;
    Report(endpoint_state::kReady);
  }

  void Answer(work_id work, bool is_failure = false) {
    std::erase(running_, work);
    Happen(work_finished{work, {.is_failure = is_failure}});
  }

  node_state state_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  std::uint64_t last_work_ = 0;
  std::vector<work_id> running_;
};

TEST_F(an_endpoints_node, RefusesARequestThatHasCrashedItsEndpointAlone) {
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(Arrive(kCulprit), std::nullopt);
    Crash();
  }
  EXPECT_EQ(Arrive(kCulprit), error_kind::kQuarantined);
  EXPECT_EQ(Arrive(request_digest(1)), std::nullopt);
}

TEST_F(an_endpoints_node,
       RefusesARequestThatHasCrashedItsEndpointBesideOthers) {
  for (std::uint64_t i = 1; i <= 3; ++i) {
    EXPECT_EQ(Arrive(kCulprit), std::nullopt);
    EXPECT_EQ(Arrive(request_digest(i)), std::nullopt);
    Crash();
  }
  EXPECT_EQ(Arrive(kCulprit), error_kind::kQuarantined);
  EXPECT_EQ(Arrive(request_digest(3)), std::nullopt);
}

TEST_F(an_endpoints_node, RunsOneSuspectOfTwoCrashesAtATime) {
  for (int i = 0; i < 2; ++i) {
    Arrive(kCulprit);
    Arrive(request_digest(2));
    Crash();
  }
  EXPECT_EQ(Arrive(kCulprit), std::nullopt);
  EXPECT_EQ(Arrive(request_digest(2)), error_kind::kIsolated);
  EXPECT_EQ(Arrive(request_digest(3)), std::nullopt);
  Crash();
  EXPECT_EQ(Arrive(kCulprit), error_kind::kQuarantined);
  EXPECT_EQ(Arrive(request_digest(2)), std::nullopt);
}

TEST_F(an_endpoints_node, IsNotConvincedByAFailureThatTheRequestIsHarmless) {
  Arrive(kCulprit);
  Crash();
  Arrive(kCulprit);
  Answer(work_id(last_work_), true);
  Arrive(kCulprit);
  Crash();
  EXPECT_EQ(Arrive(kCulprit), error_kind::kQuarantined);
}

TEST_F(an_endpoints_node, SuspectsNoRequestThatItsEndpointHasAnswered) {
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Arrive(request_digest(1)), std::nullopt);
    Answer(work_id(last_work_));
    EXPECT_EQ(Arrive(request_digest(1)), std::nullopt);
    Crash();
  }
  EXPECT_EQ(Arrive(request_digest(1)), std::nullopt);
}

TEST_F(an_endpoints_node, SuspectsNoRequestWhenItsEndpointLeaves) {
  for (int i = 0; i < 3; ++i) {
    Arrive(kCulprit);
    Report(endpoint_state::kLeaving);
    Crash();
  }
  EXPECT_EQ(Arrive(kCulprit), std::nullopt);
}

TEST_F(an_endpoints_node, ForgetsARequestThatHasNotComeForALongTime) {
  for (int i = 0; i < 2; ++i) {
    Arrive(kCulprit);
    Crash();
  }
  EXPECT_EQ(Arrive(kCulprit), error_kind::kQuarantined);
  now_ += kCrashLifetime;
  Report(endpoint_state::kReady);
  EXPECT_EQ(Arrive(kCulprit), std::nullopt);
}

TEST_F(an_endpoints_node, RemembersARequestThatKeepsComing) {
  for (int i = 0; i < 2; ++i) {
    Arrive(kCulprit);
    Crash();
  }
  for (int i = 0; i < 5; ++i) {
    now_ += kCrashLifetime * 2 / 3;
    Report(endpoint_state::kReady);
    EXPECT_EQ(Arrive(kCulprit), error_kind::kQuarantined);
  }
}

TEST_F(an_endpoints_node, CountsOneCrashHoweverManyRequestsWereAtWork) {
  for (std::uint64_t i = 0; i < 10; ++i) {
    Arrive(kCulprit);
  }
  Crash();
  EXPECT_EQ(Arrive(kCulprit), std::nullopt);
}

// A node that calls two others, and knows of crashes from one of them.
class a_callers_node : public testing::Test {
 protected:
  a_callers_node() {
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    member_update members;
    for (const std::uint64_t node : {2, 3, 4}) {
      members.records.push_back({.node = node_id(node),
                                 .run = incarnation(1),
                                 .state = member_state::kReady,
                                 .address = {.host = "10.0.0.1"},
                                 .service = service_name("listings")});
    }
    peer_message message{.from = node_id(2), .from_run = incarnation(1)};
    message.content = members;
    Happen(message_received{message});
    row_update rows;
    rows.rows.push_back({.service = service_name("listings"),
                         .request_class = class_name("browse"),
                         .version = row_version(1)});
    rows.rows.back().settings.is_idempotent = true;
    rows.rows.back().settings.retry_allowance = 9;
    message.content = rows;
    Happen(message_received{message});
  }

  void Happen(event_content content) {
    now_ += 1ms;
    for (const effect& each :
         Reduce(state_, {now_, ++entropy_, std::move(content)})) {
      if (const auto* sent = std::get_if<send_attempt>(&each)) {
        attempt_ = sent->attempt;
        ++sent_;
      }
      if (const auto* refused = std::get_if<refuse_call>(&each)) {
        refused_ = *refused;
      }
    }
  }

  void Call() {
    call_arrived arrived{.call = call_id(++last_call_)};
    arrived.metadata.service = service_name("listings");
    arrived.metadata.request_class = class_name("browse");
    arrived.metadata.digest = kCulprit;
    arrived.metadata.time_left = 5s;
    Happen(arrived);
  }

  /// The endpoint crashes while it runs the attempt.
  void Crash() {
    const attempt_id crashed = attempt_;
    Happen(attempt_sent{crashed, connection_id(1)});
    Happen(attempt_finished{crashed,
                            {.error = error_kind::kEndpointCrashed,
                             .execution = execution_state::kUnknown,
                             .peer = answer_metadata{.allowance_left = 5}}});
  }

  void LearnOfCrashes() {
    peer_view view;
    for (const std::uint64_t id : {1, 2}) {
      view.crashes.push_back(
          {.id = crash_id(id), .suspects = {kCulprit}, .time_left = 500s});
    }
    Happen(view_received{view});
  }

  node_state state_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  std::uint64_t last_call_ = 0;
  attempt_id attempt_;
  int sent_ = 0;
  std::optional<refuse_call> refused_;
};

TEST_F(a_callers_node, RetriesAfterOneCrashButNotAfterTheSecond) {
  Call();
  Crash();
  EXPECT_EQ(sent_, 2);
  Crash();
  EXPECT_EQ(sent_, 2);
  ASSERT_TRUE(refused_);
  EXPECT_EQ(refused_->kind, error_kind::kEndpointCrashed);
  EXPECT_EQ(refused_->execution, execution_state::kUnknown);
}

TEST_F(a_callers_node, RefusesARequestInQuarantineAtOnce) {
  LearnOfCrashes();
  Call();
  EXPECT_EQ(sent_, 0);
  ASSERT_TRUE(refused_);
  EXPECT_EQ(refused_->kind, error_kind::kQuarantined);
  EXPECT_EQ(refused_->execution, execution_state::kNotExecuted);
  EXPECT_EQ(refused_->retry_after, duration::zero());
}

TEST_F(a_callers_node, DoesNotRetryWhatWasQuarantinedMeanwhile) {
  Call();
  LearnOfCrashes();
  Crash();
  EXPECT_EQ(sent_, 1);
  ASSERT_TRUE(refused_);
  EXPECT_EQ(refused_->execution, execution_state::kUnknown);
}

}  // namespace
}  // namespace auburnfold
