#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

// A node whose endpoint is ready and answers each request at once.
class a_node_with_an_endpoint : public testing::Test {
 protected:
  a_node_with_an_endpoint() {
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    Happen(endpoint_reported{.service = service_name("listings"),
                             .run = incarnation(5),
                             .name = endpoint_name("i-1")});
  }

  effects Happen(event_content content) {
    return Reduce(state_, {now_, ++entropy_, std::move(content)});
  }

  effects Answer(const endpoint_signals& signals) {
    // Long enough for any of the limits to admit one more request.
    now_ += 1s;
    const work_id work(++last_work_);
    request_metadata metadata;
    metadata.service = service_name("listings");
    metadata.request_class = class_name("browse");
    metadata.own_id = request_id("request-" + std::to_string(last_work_));
    metadata.time_left = 5s;
    Happen(work_arrived{
        .work = work, .metadata = metadata, .expected_run = incarnation(7)});
    Happen(work_sent{work, connection_id(1)});
    now_ += 10ms;
    return Happen(work_finished{work, {.signals = signals}});
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

}  // namespace
}  // namespace auburnfold
