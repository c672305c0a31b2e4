#include <gtest/gtest.h>

#include "LibDecision/Connections/connection_monitor.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class a_peer_with_connections : public testing::Test {
 protected:
  void Send(std::uint64_t attempt, std::uint64_t connection) {
    event_context context(now_, 1, timers_);
    monitor_.OnSent(context, attempt_id(attempt), connection_id(connection),
                    node_id(2), class_name("lookup"));
  }

  void Answer(std::uint64_t attempt) {
    event_context context(now_, 1, timers_);
    monitor_.OnAnswered(context, attempt_id(attempt));
  }

  // Ten quick exchanges on connection 1 teach the monitor their usual time.
  void Learn() {
    for (std::uint64_t attempt = 100; attempt < 110; ++attempt) {
      Exchange(attempt, 1);
    }
  }

  void Exchange(std::uint64_t attempt, std::uint64_t connection) {
    Send(attempt, connection);
    now_ += 10ms;
    Answer(attempt);
  }

  std::vector<attempt_id> Look() {
    event_context context(now_, 1, timers_);
    std::vector<attempt_id> lost;
    for (const dropped_attempt& dropped : monitor_.OnTimer(
             context, [this](attempt_id) { return may_abandon_; })) {
      lost.push_back(dropped.attempt);
      evidence_ = dropped;
    }
    closed_.clear();
    for (const effect& each : context.TakeEffects()) {
      if (const auto* close = std::get_if<close_connection>(&each)) {
        closed_.push_back(close->connection);
      }
    }
    return lost;
  }

  timer_service timers_;
  instant now_{};
  connection_monitor monitor_;
  bool may_abandon_ = true;
  /// About the attempt that was dropped last.
  dropped_attempt evidence_;
  std::vector<connection_id> closed_;
};

class a_silent_connection : public a_peer_with_connections {
 protected:
  a_silent_connection() {
    Learn();
    Send(1, 7);
  }
};

TEST_F(a_silent_connection, IsReplacedOnceOthersAnsweredLaterRequests) {
  for (std::uint64_t attempt = 200; attempt < 212; ++attempt) {
    Exchange(attempt, 1);
  }
  EXPECT_EQ(Look(), std::vector{attempt_id(1)});
  EXPECT_EQ(closed_, std::vector{connection_id(7)});
  EXPECT_EQ(evidence_.known_answers, 22U);
  EXPECT_EQ(evidence_.slowest, 10ms);
}

TEST_F(a_silent_connection, IsKeptForARequestThatCannotGoElsewhere) {
  may_abandon_ = false;
  now_ += 200ms;
  Exchange(2, 8);
  now_ += 200ms;
  EXPECT_TRUE(Look().empty());
}

TEST_F(a_silent_connection, IsKeptWhileNobodyAnswers) {
  now_ += 1s;
  EXPECT_TRUE(Look().empty());
}

TEST_F(a_silent_connection, MakesIdleOnesSuspectThatWereUsedBefore) {
  now_ += 1s;
  Look();
  EXPECT_EQ(closed_, std::vector{connection_id(1)});
}

TEST_F(a_silent_connection, OfManyIsFoundThroughANewOneToo) {
  Send(2, 8);
  now_ += 500ms;
  Look();
  for (std::uint64_t attempt = 200; attempt < 203; ++attempt) {
    Exchange(attempt, 9);
  }
  EXPECT_EQ(Look(), (std::vector{attempt_id(1), attempt_id(2)}));
}

class a_busy_connection : public a_peer_with_connections {};

TEST_F(a_busy_connection, IsKeptWhileItsRequestIsNotOverdue) {
  Learn();
  Send(1, 7);
  now_ += 1ms;
  for (std::uint64_t attempt = 200; attempt < 203; ++attempt) {
    Exchange(attempt, 1);
  }
  EXPECT_TRUE(Look().empty());
  EXPECT_TRUE(closed_.empty());
}

TEST_F(a_busy_connection, IsKeptIfItsPeerIsNotKnownWell) {
  Send(1, 7);
  for (std::uint64_t attempt = 200; attempt < 204; ++attempt) {
    Exchange(attempt, 1);
  }
  now_ += 10s;
  EXPECT_TRUE(Look().empty());
}

class an_unused_connection : public a_peer_with_connections {};

TEST_F(an_unused_connection, IsClosedAfterAWhile) {
  Learn();
  Look();
  ASSERT_TRUE(closed_.empty());
  now_ = *timers_.next_due();
  Look();
  EXPECT_EQ(closed_, std::vector{connection_id(1)});
  EXPECT_EQ(monitor_.connection_count(), 0U);
}

}  // namespace
}  // namespace auburnfold
