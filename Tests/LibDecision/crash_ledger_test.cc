#include "LibDecision/Quarantine/crash_ledger.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "LibDecision/Quarantine/crash_codec.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

const request_digest kCulprit(1);

class a_ledger : public testing::Test {
 protected:
  /// A crash with these requests at work.
  bool Crash(std::uint64_t id, const std::vector<std::uint64_t>& suspects) {
    crash_record record{.id = crash_id(id), .time_left = kCrashLifetime};
    for (const std::uint64_t suspect : suspects) {
      record.suspects.emplace_back(suspect);
    }
    std::sort(record.suspects.begin(), record.suspects.end());
    return ledger_.Add(now_, record);
  }

  crash_verdict VerdictOn(std::uint64_t digest) const {
    return ledger_.VerdictOn(request_digest(digest));
  }

  instant now_{};
  crash_ledger ledger_;
};

class a_culprit : public a_ledger {};

TEST_F(a_culprit, IsQuarantinedByItsThirdCrash) {
  EXPECT_EQ(VerdictOn(1), crash_verdict::kUnsuspected);
  Crash(1, {1, 2, 3});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kSuspected);
  Crash(2, {1, 4, 5});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kIsolated);
  Crash(3, {1, 6, 7});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
}

TEST_F(a_culprit, IsQuarantinedByItsSecondCrashIfNothingElseWasAtWork) {
  Crash(1, {1});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kSuspected);
  Crash(2, {1});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
}

TEST_F(a_culprit, IsTheOneThatIsLeftWhenTheOthersAreAnswered) {
  Crash(1, {1, 2});
  Crash(2, {1, 3});
  ledger_.OnAnswered(now_, request_digest(2));
  EXPECT_EQ(VerdictOn(1), crash_verdict::kIsolated);
  ledger_.OnAnswered(now_, request_digest(3));
  EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
}

TEST_F(a_culprit, IsNotNamedWhileAnotherWasThereAsOften) {
  Crash(1, {1, 2});
  Crash(2, {1, 2});
  Crash(3, {1, 2});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kIsolated);
  EXPECT_EQ(VerdictOn(2), crash_verdict::kIsolated);
  Crash(4, {1, 9});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
  EXPECT_EQ(VerdictOn(2), crash_verdict::kUnsuspected);
}

TEST_F(a_culprit, IsTheSameInWhateverOrderTheCrashesAreKnown) {
  std::vector<std::uint64_t> order{1, 2, 3};
  do {
    ledger_ = {};
    for (const std::uint64_t id : order) {
      Crash(id, {1, 10 + id});
    }
    EXPECT_EQ(ledger_.quarantined(), std::set{kCulprit});
  } while (std::next_permutation(order.begin(), order.end()));
}

class an_innocent_request : public a_ledger {};

TEST_F(an_innocent_request, IsClearedByAnAnswer) {
  Crash(1, {1, 2});
  Crash(2, {1, 2});
  ledger_.OnAnswered(now_, request_digest(2));
  EXPECT_EQ(VerdictOn(2), crash_verdict::kUnsuspected);
  Crash(3, {1, 2});
  EXPECT_EQ(VerdictOn(2), crash_verdict::kUnsuspected);
  EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
}

TEST_F(an_innocent_request, ThatWasAnsweredLatelyIsNoSuspect) {
  ledger_.OnAnswered(now_, request_digest(2));
  const std::vector<request_digest> both{kCulprit, request_digest(2)};
  EXPECT_EQ(ledger_.WithoutAnswered(both), std::vector{kCulprit});
  now_ += 40s;
  ledger_.OnAnswered(now_, request_digest(3));
  now_ += 40s;
  ledger_.OnAnswered(now_, request_digest(4));
  EXPECT_EQ(ledger_.WithoutAnswered(both), both);
}

// Three different culprits, each at its first crash.
TEST_F(an_innocent_request, IsReleasedWhenOthersExplainItsCrashes) {
  Crash(1, {1, 50, 51});
  Crash(2, {1, 60, 61});
  Crash(3, {1, 70, 71});
  ASSERT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
  Crash(4, {50});
  Crash(5, {50});
  EXPECT_EQ(VerdictOn(50), crash_verdict::kQuarantined);
  EXPECT_EQ(VerdictOn(1), crash_verdict::kIsolated);
  ledger_.OnAnswered(now_, kCulprit);
  EXPECT_EQ(VerdictOn(1), crash_verdict::kUnsuspected);
}

TEST_F(an_innocent_request, IsNotReleasedTwiceIfItCrashesAnEndpointAfterAll) {
  Crash(1, {1, 50, 51});
  Crash(2, {1, 60, 61});
  Crash(3, {1, 70, 71});
  Crash(4, {50});
  Crash(5, {50});
  ASSERT_EQ(VerdictOn(1), crash_verdict::kIsolated);
  Crash(6, {1, 80});
  EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
}

class a_crash : public a_ledger {};

TEST_F(a_crash, HasOnlySuspectsThatAllReportsName) {
  Crash(1, {1, 2, 3});
  EXPECT_TRUE(Crash(1, {1, 2}));
  EXPECT_FALSE(Crash(1, {1, 2, 3, 4}));
  EXPECT_EQ(VerdictOn(3), crash_verdict::kUnsuspected);
  EXPECT_EQ(VerdictOn(4), crash_verdict::kUnsuspected);
  EXPECT_EQ(ledger_.RecordOf(now_, crash_id(1)).suspects.size(), 2);
}

TEST_F(a_crash, IsForgottenAfterItsLifetime) {
  Crash(1, {1});
  Crash(2, {1});
  now_ += kCrashLifetime;
  ledger_.Expire(now_);
  EXPECT_EQ(VerdictOn(1), crash_verdict::kUnsuspected);
  EXPECT_EQ(ledger_.checksum(), 0);
}

TEST_F(a_crash, CountsAnewWhileItsCulpritKeepsComing) {
  Crash(1, {1});
  Crash(2, {1});
  for (int i = 0; i < 10; ++i) {
    now_ += kCrashLifetime * 2 / 3;
    EXPECT_EQ(ledger_.Extend(now_, kCulprit).size(), 2);
    EXPECT_TRUE(ledger_.Extend(now_, kCulprit).empty());
    ledger_.Expire(now_);
    EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
  }
}

TEST_F(a_crash, ThatConvictsIsNotPushedOutByAFloodOfOthers) {
  Crash(1, {1});
  Crash(2, {1});
  for (std::uint64_t id = 3; id < 5000; ++id) {
    now_ += 1ms;
    Crash(id, {10000 + 2 * id, 10001 + 2 * id});
  }
  EXPECT_EQ(VerdictOn(1), crash_verdict::kQuarantined);
  EXPECT_LE(ledger_.Records(now_).size(), 512);
  const std::vector<crash_record> view = ledger_.RecordsForView(now_);
  EXPECT_LE(view.size(), 64);
  EXPECT_EQ(view.front().suspects, std::vector{kCulprit});
}

TEST_F(a_crash, CountsInAChecksumThatIsTheSameInEachOrder) {
  Crash(1, {1});
  Crash(2, {2});
  crash_ledger other;
  for (const std::uint64_t id : {2, 1}) {
    other.Add(now_, ledger_.RecordOf(now_, crash_id(id)));
  }
  EXPECT_NE(ledger_.checksum(), 0);
  EXPECT_EQ(other.checksum(), ledger_.checksum());
}

class a_stored_crash : public testing::Test {};

TEST_F(a_stored_crash, IsReadAsItWasWritten) {
  const crash_record record{
      .id = crash_id(~std::uint64_t{0}),
      .suspects = {request_digest(3), request_digest(~std::uint64_t{0})},
      .time_left = 599s};
  EXPECT_EQ(DecodeCrash(CrashKey(record.id), EncodeCrash(record)), record);
}

TEST_F(a_stored_crash, OfAnotherWriterIsIgnored) {
  EXPECT_FALSE(DecodeCrash("auburnfold/nodes/crashes/x", "auburnfold-crash-1"));
  EXPECT_FALSE(DecodeCrash("auburnfold/nodes/7", "auburnfold-crash-1 600 1 "));
  EXPECT_FALSE(DecodeCrash("auburnfold/nodes/crashes/7", "nonsense"));
  EXPECT_FALSE(
      DecodeCrash("auburnfold/nodes/crashes/7", "auburnfold-crash-1 600 1 x "));
  EXPECT_FALSE(
      DecodeCrash("auburnfold/nodes/crashes/7", "auburnfold-crash-1 -5 "));
}

}  // namespace
}  // namespace auburnfold
