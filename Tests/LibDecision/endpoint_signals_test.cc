#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

// A node whose endpoint is ready and answers each request at once.
class a_node_with_an_endpoint : public testing::Test {
 protected:
  a_node_with_an_endpoint() { Restart(); }

  /// Starts a run of the node that knows only what its endpoint reports.
  void Restart() {
    state_ = node_state();
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    Report(5);
  }

  effects Report(std::uint64_t run) {
    return Happen(endpoint_reported{.service = service_name("listings"),
                                    .run = incarnation(run),
                                    .name = endpoint_name("i-1")});
  }

  effects Happen(event_content content) {
    return Reduce(state_, {now_, ++entropy_, std::move(content)});
  }

  effects Arrive(const std::optional<endpoint_notice>& notice = {}) {
    request_metadata metadata;
    metadata.service = service_name("listings");
    metadata.request_class = class_name("browse");
    metadata.own_id = request_id("request-" + std::to_string(++last_work_));
    metadata.time_left = 5s;
    metadata.notice = notice;
    return Happen(work_arrived{.work = work_id(last_work_),
                               .from = node_id(2),
                               .metadata = metadata,
                               .expected_run = incarnation(7)});
  }

  effects Answer(const endpoint_signals& signals) {
    // Long enough for any of the limits to admit one more request.
    now_ += 1s;
    Arrive();
    const work_id work(last_work_);
    Happen(work_sent{work, connection_id(1)});
    now_ += 10ms;
    return Happen(work_finished{work, {.signals = signals}});
  }

  static endpoint_notice Notice(std::uint64_t run) {
    return {.endpoint = endpoint_name("i-1"), .run = incarnation(run)};
  }

  static std::optional<error_kind> RefusalOf(const effects& made) {
    for (const effect& each : made) {
      if (const auto* refused = std::get_if<refuse_work>(&each)) {
        return refused->kind;
      }
    }
    return std::nullopt;
  }

  /// How many of a hundred requests are handed to the endpoint at once.
  int StartedOfAHundred(const std::optional<endpoint_notice>& notice = {}) {
    int started = 0;
    for (int i = 0; i < 100; ++i) {
      for (const effect& each : Arrive(notice)) {
        started += std::holds_alternative<execute_work>(each) ? 1 : 0;
      }
    }
    return started;
  }

  static std::vector<decision_record> RecordsOf(const effects& made,
                                                decision_kind kind) {
    std::vector<decision_record> records;
    for (const effect& each : made) {
      const auto* logged = std::get_if<log_decision>(&each);
      if (logged != nullptr && logged->record.kind == kind) {
        records.push_back(logged->record);
      }
    }
    return records;
  }

  static std::uint64_t CountOf(const effects& made, counter which) {
    std::uint64_t count = 0;
    for (const effect& each : made) {
      const auto* added = std::get_if<increment_counter>(&each);
      count += added != nullptr && added->which == which ? added->amount : 0;
    }
    return count;
  }

  node_state state_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  std::uint64_t last_work_ = 0;
};

class the_log_of_rate_limits : public a_node_with_an_endpoint {};

TEST_F(the_log_of_rate_limits, TellsEachChangeAndTheAnswerThatNamedIt) {
  const auto learned = RecordsOf(Answer({.rate_limit = request_rate(29.9)}),
                                 decision_kind::kRateLimitChanged);
  ASSERT_EQ(learned.size(), 1U);
  EXPECT_EQ(learned[0].rate, request_rate(29.9));
  EXPECT_EQ(learned[0].request, request_id("request-1"));
  EXPECT_EQ(learned[0].endpoint, endpoint_name("i-1"));
  EXPECT_TRUE(RecordsOf(Answer({.rate_limit = request_rate(29.9)}),
                        decision_kind::kRateLimitChanged)
                  .empty());
  EXPECT_EQ(RecordsOf(Answer({.rate_limit = request_rate(12)}),
                      decision_kind::kRateLimitChanged)
                .size(),
            1U);
}

TEST_F(the_log_of_rate_limits, TellsWhenTheLimitEnds) {
  Answer({.rate_limit = request_rate(29.9)});
  EXPECT_EQ(RecordsOf(Answer({}), decision_kind::kRateLimitEnded).size(), 1U);
  EXPECT_TRUE(RecordsOf(Answer({}), decision_kind::kRateLimitEnded).empty());
}

TEST_F(the_log_of_rate_limits, TellsOfLimitsThatCannotBeRead) {
  const effects made = Answer({.has_unreadable_rate_limit = true});
  EXPECT_EQ(RecordsOf(made, decision_kind::kRateLimitUnreadable).size(), 1U);
  EXPECT_EQ(CountOf(made, counter::kUnreadableRateLimits), 1U);
}

class an_endpoint_whose_answer_says_that_it_leaves
    : public a_node_with_an_endpoint {
 protected:
  an_endpoint_whose_answer_says_that_it_leaves() {
    last_answer_ = Answer({.is_leaving = true});
  }

  effects last_answer_;
};

TEST_F(an_endpoint_whose_answer_says_that_it_leaves,
       GetsNothingAfterTheGracePeriod) {
  EXPECT_FALSE(RefusalOf(Arrive()));
  now_ += kLeavingGracePeriod;
  EXPECT_EQ(RefusalOf(Arrive()), error_kind::kEndpointLeaving);
}

TEST_F(an_endpoint_whose_answer_says_that_it_leaves, IsSaidToLeaveToCallers) {
  for (const effect& each : last_answer_) {
    if (const auto* relayed = std::get_if<relay_work_answer>(&each)) {
      ASSERT_TRUE(relayed->metadata.notice);
      EXPECT_TRUE(relayed->metadata.notice->is_leaving);
      EXPECT_EQ(relayed->metadata.notice->endpoint, endpoint_name("i-1"));
      EXPECT_EQ(relayed->metadata.notice->run, incarnation(5));
      return;
    }
  }
  FAIL() << "the answer was not relayed";
}

TEST_F(an_endpoint_whose_answer_says_that_it_leaves,
       DoesNotComeBackByAnswersOrReports) {
  Answer({});
  now_ += kLeavingGracePeriod;
  Report(5);
  EXPECT_EQ(RefusalOf(Arrive()), error_kind::kEndpointLeaving);
}

TEST_F(an_endpoint_whose_answer_says_that_it_leaves, IsReplacedByAnotherRun) {
  now_ += kLeavingGracePeriod;
  Report(6);
  EXPECT_FALSE(RefusalOf(Arrive()));
}

class a_node_that_has_restarted : public a_node_with_an_endpoint {};

TEST_F(a_node_that_has_restarted, LearnsFromSendersThatTheEndpointLeaves) {
  endpoint_notice leaving = Notice(5);
  leaving.is_leaving = true;
  EXPECT_EQ(RefusalOf(Arrive(leaving)), error_kind::kEndpointLeaving);
  Report(5);
  EXPECT_EQ(RefusalOf(Arrive()), error_kind::kEndpointLeaving);
}

TEST_F(a_node_that_has_restarted, IgnoresNoticesAboutAnotherRun) {
  endpoint_notice leaving = Notice(4);
  leaving.is_leaving = true;
  EXPECT_FALSE(RefusalOf(Arrive(leaving)));
}

TEST_F(a_node_that_has_restarted, LearnsTheRateLimitFromSenders) {
  endpoint_notice limited = Notice(5);
  limited.rate_limit = request_rate(10);
  EXPECT_EQ(StartedOfAHundred(limited), 0);
  now_ += 1s;
  Restart();
  limited.run = incarnation(4);
  EXPECT_EQ(StartedOfAHundred(limited), 8);
}

TEST_F(a_node_that_has_restarted, TrustsTheEndpointsOwnAnswersMore) {
  Answer({});
  endpoint_notice limited = Notice(5);
  limited.rate_limit = request_rate(0);
  EXPECT_EQ(StartedOfAHundred(limited), 8);
}

}  // namespace
}  // namespace auburnfold
