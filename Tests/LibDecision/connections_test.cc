#include <gtest/gtest.h>

#include <utility>

#include "LibDecision/Connections/connection_monitor.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr duration kDeadline = 20s;

class a_peer_with_connections : public testing::Test {
 protected:
  void Send(std::uint64_t attempt,
            std::uint64_t connection,
            std::uint64_t peer = 2) {
    event_context context(now_, 1, timers_);
    monitor_.OnSent(context, attempt_id(attempt),
                    {.connection = connection_id(connection),
                     .peer = node_id(peer),
                     .peer_run = incarnation(peer + 10),
                     .address = {.host = std::to_string(peer)},
                     .request_class = class_name("lookup"),
                     .deadline = now_ + kDeadline});
  }

  void Answer(std::uint64_t attempt) {
    event_context context(now_, 1, timers_);
    monitor_.OnAnswered(context, attempt_id(attempt));
  }

  // Quick exchanges on connection 1 teach the monitor their usual time, and
  // allow it to ask about others.
  void Learn() {
    for (std::uint64_t attempt = 100; attempt < 500; ++attempt) {
      Exchange(attempt, 1);
    }
  }

  void Exchange(std::uint64_t attempt, std::uint64_t connection) {
    Send(attempt, connection);
    now_ += 10ms;
    Answer(attempt);
  }

  /// Lets the monitor check the open attempts. Returns those it asks about.
  std::vector<attempt_id> Check() {
    event_context context(now_, 1, timers_);
    monitor_.OnTimer(context);
    std::vector<attempt_id> asked;
    TakeEffects(context, asked);
    return asked;
  }

  /// The peer answers the last question. Returns the attempts that are lost.
  std::vector<attempt_id> Report(std::vector<attempt_report> reports) {
    event_context context(now_, 1, timers_);
    std::vector<attempt_id> lost;
    for (const attempt_report& report : monitor_.OnReports(
             context, {queries_.back().query, std::move(reports)})) {
      lost.push_back(report.attempt);
      monitor_.Drop(context, report.attempt);
    }
    std::vector<attempt_id> asked;
    TakeEffects(context, asked);
    return lost;
  }

  void FailQuery() {
    event_context context(now_, 1, timers_);
    EXPECT_TRUE(
        monitor_.OnReports(context, {queries_.back().query, {}}).empty());
  }

  void PassDeadline(std::uint64_t attempt) {
    event_context context(now_, 1, timers_);
    monitor_.OnDeadline(context, attempt_id(attempt));
    std::vector<attempt_id> asked;
    TakeEffects(context, asked);
  }

  void TakeEffects(event_context& context, std::vector<attempt_id>& asked) {
    closed_.clear();
    for (const effect& each : context.TakeEffects()) {
      if (const auto* close = std::get_if<close_connection>(&each)) {
        closed_.push_back(close->connection);
      } else if (const auto* idle = std::get_if<close_idle_connection>(&each)) {
        closed_.push_back(idle->connection);
      } else if (const auto* query = std::get_if<query_attempts>(&each)) {
        queries_.push_back(*query);
        asked.insert(asked.end(), query->attempts.begin(),
                     query->attempts.end());
      }
    }
  }

  timer_service timers_;
  instant now_{};
  connection_monitor monitor_;
  std::vector<query_attempts> queries_;
  std::vector<connection_id> closed_;
};

class a_slow_attempt : public a_peer_with_connections {
 protected:
  a_slow_attempt() {
    Learn();
    Send(1, 7);
  }
};

TEST_F(a_slow_attempt, IsAskedAboutAtThePeerThatItWasSentTo) {
  now_ += 110ms;
  EXPECT_EQ(Check(), std::vector{attempt_id(1)});
  EXPECT_EQ(queries_.back().to.host, "2");
  EXPECT_EQ(queries_.back().expected_run, incarnation(12));
  EXPECT_TRUE(closed_.empty());
}

TEST_F(a_slow_attempt, IsNotAskedAboutEarly) {
  now_ += 90ms;
  EXPECT_TRUE(Check().empty());
}

TEST_F(a_slow_attempt, IsAskedAboutOnceAtATime) {
  now_ += 110ms;
  Check();
  now_ += 400ms;
  EXPECT_TRUE(Check().empty());
}

TEST_F(a_slow_attempt, KeepsWaitingWhileItIsAtWork) {
  for (int i = 0; i < 6; ++i) {
    now_ += 1s;
    if (!Check().empty()) {
      EXPECT_TRUE(Report({{attempt_id(1), attempt_state::kAtWork}}).empty());
    }
    // The peer answers many that were sent later.
    for (std::uint64_t attempt = 1000; attempt < 1010; ++attempt) {
      Exchange(attempt + 10 * static_cast<std::uint64_t>(i), 1);
    }
  }
  EXPECT_GE(queries_.size(), 2U);
  EXPECT_TRUE(closed_.empty());
}

TEST_F(a_slow_attempt, IsAskedAboutLessOftenTheLongerItTakes) {
  for (int i = 0; i < 100; ++i) {
    now_ += 100ms;
    if (!Check().empty()) {
      Report({{attempt_id(1), attempt_state::kAtWork}});
    }
  }
  EXPECT_GE(queries_.size(), 4U);
  EXPECT_LE(queries_.size(), 8U);
}

TEST_F(a_slow_attempt, KeepsWaitingWhereThePeerKnowsNothing) {
  now_ += 1s;
  Check();
  EXPECT_TRUE(Report({{attempt_id(1), attempt_state::kUnknown}}).empty());
  EXPECT_TRUE(closed_.empty());
}

TEST_F(a_slow_attempt, KeepsWaitingWhereThePeerDoesNotAnswer) {
  now_ += 1s;
  Check();
  FailQuery();
  EXPECT_TRUE(closed_.empty());
  now_ += 2s;
  EXPECT_EQ(Check(), std::vector{attempt_id(1)});
}

TEST_F(a_slow_attempt, MayBeAnsweredWhileItIsAskedAbout) {
  now_ += 1s;
  Check();
  Answer(1);
  EXPECT_TRUE(Report({{attempt_id(1), attempt_state::kNeverArrived}}).empty());
  EXPECT_TRUE(closed_.empty());
}

class a_silent_connection : public a_peer_with_connections {
 protected:
  a_silent_connection() {
    Learn();
    Send(1, 7);
    now_ += 110ms;
    Check();
  }
};

TEST_F(a_silent_connection, IsReplacedIfTheRequestNeverArrived) {
  EXPECT_EQ(Report({{attempt_id(1), attempt_state::kNeverArrived}}),
            std::vector{attempt_id(1)});
  EXPECT_EQ(closed_.front(), connection_id(7));
}

TEST_F(a_silent_connection, IsReplacedOnceHoweverOftenItIsReported) {
  const attempt_report denial{attempt_id(1), attempt_state::kNeverArrived};
  EXPECT_EQ(Report({denial, denial}), std::vector{attempt_id(1)});
}

TEST_F(a_silent_connection, IsNotFoundByTheWordOfAPeerThatWasNotAsked) {
  Send(2, 8, 3);
  EXPECT_TRUE(Report({{attempt_id(2), attempt_state::kNeverArrived}}).empty());
  EXPECT_TRUE(closed_.empty());
}

TEST_F(a_silent_connection, IsReplacedIfTheAnswerWasSentLongAgo) {
  EXPECT_EQ(Report({{attempt_id(1), attempt_state::kAnswered, 1s}}),
            std::vector{attempt_id(1)});
  EXPECT_EQ(closed_.front(), connection_id(7));
}

TEST_F(a_silent_connection, IsKeptWhileTheAnswerMayBeOnItsWay) {
  EXPECT_TRUE(
      Report({{attempt_id(1), attempt_state::kAnswered, 300ms}}).empty());
  EXPECT_TRUE(closed_.empty());
  now_ += 700ms;
  Check();
  EXPECT_EQ(Report({{attempt_id(1), attempt_state::kAnswered, 1s}}),
            std::vector{attempt_id(1)});
}

TEST_F(a_silent_connection, IsKeptWhileAPartOfTheAnswerHasArrived) {
  EXPECT_TRUE(
      Report({{attempt_id(1), attempt_state::kAnswered, 5s, true}}).empty());
  EXPECT_TRUE(closed_.empty());
}

TEST_F(a_silent_connection, MakesIdleOnesSuspectThatWereUsedBefore) {
  Report({{attempt_id(1), attempt_state::kNeverArrived}});
  EXPECT_EQ(closed_, (std::vector{connection_id(7), connection_id(1)}));
}

TEST_F(a_silent_connection, HasThePeersAskedAboutAllOthersAtOnce) {
  for (std::uint64_t attempt = 10; attempt < 40; ++attempt) {
    Send(attempt, 100 + attempt, 2 + attempt % 3);
  }
  Report({{attempt_id(1), attempt_state::kNeverArrived}});
  now_ += 100ms;
  EXPECT_EQ(Check().size(), 30U);
  EXPECT_EQ(queries_.size(), 1U + 3U);
}

TEST_F(a_silent_connection, MakesIdleOnesSuspectAtTheDeadline) {
  FailQuery();
  PassDeadline(1);
  EXPECT_EQ(closed_, std::vector{connection_id(1)});
}

TEST_F(a_silent_connection, DoesNotMakeIdleOnesSuspectWhileThePeerIsAtWork) {
  Report({{attempt_id(1), attempt_state::kAtWork}});
  PassDeadline(1);
  EXPECT_TRUE(closed_.empty());
}

class a_busy_connection : public a_peer_with_connections {};

TEST_F(a_busy_connection,
       IsNotAskedAboutWhileItsRequestTakesNoLongerThanUsual) {
  Learn();
  Send(1, 7);
  now_ += 1ms;
  for (std::uint64_t attempt = 1000; attempt < 1003; ++attempt) {
    Exchange(attempt, 1);
  }
  EXPECT_TRUE(Check().empty());
  EXPECT_TRUE(closed_.empty());
}

TEST_F(a_busy_connection,
       IsAskedAboutByTheTimesOfOtherPeersIfItsOwnAreUnknown) {
  Learn();
  Send(1, 7, 3);
  now_ += 110ms;
  EXPECT_EQ(Check(), std::vector{attempt_id(1)});
}

TEST_F(a_busy_connection, IsAskedAboutInTimeForARetry) {
  Learn();
  Send(1, 7);
  now_ += 15s;
  Answer(1);
  Send(2, 7);
  now_ += 11s;
  EXPECT_EQ(Check(), std::vector{attempt_id(2)});
}

// A long tail makes one in twenty requests overdue.
TEST_F(a_busy_connection, IsAskedAboutOncePerHundredRequestsAtMost) {
  constexpr std::uint64_t kRequests = 10'000;
  std::size_t asked = 0;
  for (std::uint64_t attempt = 1; attempt <= kRequests; ++attempt) {
    Send(attempt, 1);
    const bool is_slow = attempt % 20 == 0;
    now_ += is_slow ? 1s : 10ms;
    asked += Check().size();
    if (is_slow && !queries_.empty()) {
      Report({{attempt_id(attempt), attempt_state::kAtWork}});
    }
    Answer(attempt);
  }
  EXPECT_GT(asked, 0U);
  EXPECT_LE(asked, kRequests / 100 + 1);
}

class an_unused_connection : public a_peer_with_connections {};

TEST_F(an_unused_connection, IsClosedAfterAWhile) {
  Learn();
  Check();
  ASSERT_TRUE(closed_.empty());
  now_ = *timers_.next_due();
  Check();
  EXPECT_EQ(closed_, std::vector{connection_id(1)});
  EXPECT_EQ(monitor_.connection_count(), 0U);
}

}  // namespace
}  // namespace auburnfold
