#include <gtest/gtest.h>

#include "LibDecision/Work/received_attempts.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr bool kToEarlierRun = true;
/// More than are remembered.
constexpr std::uint64_t kMany = 10'000;

class a_receiver_of_attempts : public testing::Test {
 protected:
  static attempt_key Key(std::uint64_t attempt,
                         std::uint64_t sender = 1,
                         std::uint64_t run = 5) {
    return {node_id(sender), incarnation(run), attempt_id(attempt)};
  }

  void Receive(const attempt_key& key) {
    EXPECT_TRUE(attempts_.OnArrived(key));
    attempts_.OnEnded(now_, key);
  }

  attempt_state StateOf(const attempt_key& key, bool to_earlier_run = false) {
    return attempts_.Explain(now_, key, to_earlier_run).state;
  }

  instant now_{};
  received_attempts attempts_;
};

TEST_F(a_receiver_of_attempts,
       KnowsWhichAreAtWorkAndSinceWhenOthersAreAnswered) {
  attempts_.OnArrived(Key(1));
  EXPECT_EQ(StateOf(Key(1)), attempt_state::kAtWork);
  attempts_.OnEnded(now_, Key(1));
  now_ += 300ms;
  const attempt_report report = attempts_.Explain(now_, Key(1), false);
  EXPECT_EQ(report.state, attempt_state::kAnswered);
  EXPECT_EQ(report.answered_ago, 300ms);
}

TEST_F(a_receiver_of_attempts, TellsAttemptsOfOtherSendersAndRunsApart) {
  Receive(Key(1));
  EXPECT_EQ(StateOf(Key(1, 2)), attempt_state::kNeverArrived);
  EXPECT_EQ(StateOf(Key(1, 1, 6)), attempt_state::kNeverArrived);
}

TEST_F(a_receiver_of_attempts, StandsByItsWordThatOneNeverArrived) {
  EXPECT_EQ(StateOf(Key(1)), attempt_state::kNeverArrived);
  EXPECT_FALSE(attempts_.OnArrived(Key(1)));
  EXPECT_TRUE(attempts_.OnArrived(Key(2)));
}

TEST_F(a_receiver_of_attempts, StandsByItsWordHoweverManyItGave) {
  for (std::uint64_t attempt = 1; attempt <= kMany; ++attempt) {
    ASSERT_EQ(StateOf(Key(attempt)), attempt_state::kNeverArrived);
  }
  for (std::uint64_t attempt = 1; attempt <= kMany; ++attempt) {
    ASSERT_FALSE(attempts_.OnArrived(Key(attempt)));
  }
  EXPECT_LT(attempts_.size(), kMany / 2);
}

// The clock of a machine may step back between two runs of a node.
TEST_F(a_receiver_of_attempts,
       AcceptsAnEarlierRunAfterItDeniedMuchOfALaterOne) {
  for (std::uint64_t attempt = 1; attempt <= kMany; ++attempt) {
    StateOf(Key(attempt, 1, 6));
  }
  EXPECT_TRUE(attempts_.OnArrived(Key(1, 1, 5)));
}

TEST_F(a_receiver_of_attempts, GivesNoWordAboutAnEarlierRunOfItself) {
  EXPECT_EQ(StateOf(Key(1), kToEarlierRun), attempt_state::kUnknown);
  EXPECT_TRUE(attempts_.OnArrived(Key(1)));
  EXPECT_EQ(StateOf(Key(1), kToEarlierRun), attempt_state::kAtWork);
}

TEST_F(a_receiver_of_attempts, NeverDeniesWhatItHasForgotten) {
  for (std::uint64_t attempt = 1; attempt <= kMany; ++attempt) {
    Receive(Key(attempt));
  }
  EXPECT_LT(attempts_.size(), kMany / 2);
  for (std::uint64_t attempt = 1; attempt <= kMany; ++attempt) {
    ASSERT_NE(StateOf(Key(attempt)), attempt_state::kNeverArrived);
  }
  EXPECT_EQ(StateOf(Key(kMany + 1)), attempt_state::kNeverArrived);
}

TEST_F(a_receiver_of_attempts, NeverDeniesWhatAnEarlierRunOfTheSenderSent) {
  for (std::uint64_t attempt = 1; attempt <= kMany; ++attempt) {
    Receive(Key(attempt, 1, 5));
  }
  for (std::uint64_t attempt = 1; attempt <= kMany; ++attempt) {
    Receive(Key(attempt, 1, 6));
  }
  EXPECT_EQ(StateOf(Key(kMany, 1, 5)), attempt_state::kUnknown);
}

TEST_F(a_receiver_of_attempts, DoesNotForgetWhatIsAtWork) {
  attempts_.OnArrived(Key(1));
  for (std::uint64_t attempt = 2; attempt <= kMany; ++attempt) {
    Receive(Key(attempt));
  }
  EXPECT_EQ(StateOf(Key(1)), attempt_state::kAtWork);
}

}  // namespace
}  // namespace auburnfold
