#include <gtest/gtest.h>

#include "truth_explorer.h"

namespace auburnfold {
namespace {

constexpr std::uint64_t kOrders = 4000;

truth_report Explore(taken_away missing) {
  truth_report all;
  for (std::uint64_t seed = 1; seed <= kOrders; ++seed) {
    all += truth_explorer(seed, missing).Run();
  }
  return all;
}

class every_order_of_events : public testing::Test {
 protected:
  static void ExpectTruth(const truth_report& all) {
    EXPECT_EQ(all.double_runs, 0);
    EXPECT_EQ(all.false_not_run, 0);
    EXPECT_EQ(all.double_answers, 0);
    EXPECT_EQ(all.missing_answers, 0);
    EXPECT_EQ(all.foreign_answers, 0);
    // The orders reach what they are meant to reach.
    EXPECT_GT(all.runs, 10'000);
    EXPECT_GT(all.replays, 100);
    EXPECT_GT(all.denials, 100);
    RecordProperty("calls", all.calls);
    RecordProperty("runs", all.runs);
    RecordProperty("replays", all.replays);
    RecordProperty("denials", all.denials);
  }
};

TEST_F(every_order_of_events, KeepsTheTruth) {
  ExpectTruth(Explore(taken_away::kNothing));
}

TEST_F(every_order_of_events, KeepsTheTruthIfBytesAreWrittenAfterACancel) {
  ExpectTruth(Explore(taken_away::kLastCancel));
}

class a_mechanism_taken_away : public testing::Test {};

TEST_F(a_mechanism_taken_away, OfKeysRunsWorkTwice) {
  const int double_runs = Explore(taken_away::kKeys).double_runs;
  RecordProperty("double_runs", double_runs);
  EXPECT_GT(double_runs, 0);
}

TEST_F(a_mechanism_taken_away, OfTheNoticeBeforeBytesTellsFalselyNotRun) {
  const int false_not_run = Explore(taken_away::kSent).false_not_run;
  RecordProperty("false_not_run", false_not_run);
  EXPECT_GT(false_not_run, 0);
}

TEST_F(a_mechanism_taken_away, OfWithdrawnAttemptsRunsWorkTwice) {
  const truth_report all = Explore(taken_away::kWithdrawals);
  RecordProperty("double_runs", all.double_runs);
  EXPECT_GT(all.double_runs + all.false_not_run, 0);
}

}  // namespace
}  // namespace auburnfold
