#include "LibDecision/Table/policy_table.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "LibDecision/Table/row_codec.h"
#include "LibDecision/Table/row_validation.h"
#include "LibDecision/hash.h"
#include "control_fleet.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kNodes = 20;
const service_name kListings("listings");
const class_name kLookup("lookup");

class a_table : public testing::TestWithParam<std::uint64_t> {
 protected:
  a_table() : fleet_(GetParam(), kNodes) {
    fleet_.StartAll();
    fleet_.RunFor(20s);
  }
  ~a_table() override { EXPECT_EQ(fleet_.older_states(), 0U); }

  admin_result Edit(std::size_t index, const edit_row& edit) {
    fleet_.Edit(index, edit);
    fleet_.RunUntil([this] { return !fleet_.has_open_edits(); }, 30s);
    return *fleet_.AnswerTo(edit.change.value());
  }

  void Accept(std::uint64_t expected, const std::string& change) {
    ASSERT_EQ(Edit(3, EditOfLookup(expected, change)).status,
              admin_status::kAccepted);
  }

  duration RunUntilInForce(std::uint64_t version) {
    return fleet_.RunUntil(
        [&] { return fleet_.AllHoldVersion(kListings, kLookup, version); },
        120s);
  }

  control_fleet fleet_;
};

INSTANTIATE_TEST_SUITE_P(Seeds, a_table, testing::Range<std::uint64_t>(1, 11));

TEST_P(a_table, IsInForceEverywhereWithinSecondsOfAcceptance) {
  Accept(0, "c1");
  EXPECT_LE(RunUntilInForce(1), 3s);
}

TEST_P(a_table, IsInForceThoughTheStoreGoesDownAfterAcceptance) {
  Accept(0, "c1");
  fleet_.store.set_down(true);
  EXPECT_LE(RunUntilInForce(1), 3s);
}

TEST_P(a_table, IsNotChangedWhileTheStoreIsDown) {
  fleet_.store.set_down(true);
  EXPECT_EQ(Edit(3, EditOfLookup(0, "c1")).status,
            admin_status::kStoreUnavailable);
}

TEST_P(a_table, ShowsTheCurrentRowToAnAuthorWhoSawAnOlderOne) {
  Accept(0, "c1");
  const admin_result result = Edit(9, EditOfLookup(0, "c2"));
  EXPECT_EQ(result.status, admin_status::kConflict);
  ASSERT_TRUE(result.row);
  EXPECT_EQ(result.row->change, change_id("c1"));
}

TEST_P(a_table, AcceptsAChangeOnceThoughTheAnswerToItsWriteIsLost) {
  fleet_.store.LoseAnswers(1);
  const admin_result result = Edit(3, EditOfLookup(0, "c1"));
  EXPECT_EQ(result.status, admin_status::kAccepted);
  ASSERT_TRUE(result.row);
  EXPECT_EQ(result.row->version, row_version(1));
}

TEST_P(a_table, AcceptsAChangeThatItsAuthorSendsAgainElsewhere) {
  Accept(0, "c1");
  const admin_result again = Edit(9, EditOfLookup(0, "c1"));
  EXPECT_EQ(again.status, admin_status::kAccepted);
  EXPECT_EQ(again.row->version, row_version(1));
}

// Eight authors add one to the same column until each was accepted four times.
TEST_P(a_table, LosesNoUpdateThoughAuthorsRaceAndAnswersAreLost) {
  constexpr std::size_t kAuthors = 8;
  constexpr std::uint32_t kChangesEach = 4;
  Accept(0, "first");
  std::vector<std::uint32_t> accepted(kAuthors);
  std::vector<std::uint64_t> seen(kAuthors, 1);
  std::vector<std::uint32_t> value(kAuthors);
  std::uint64_t round = 0;
  std::uint32_t done = 0;
  while (done < kAuthors * kChangesEach && round < 400) {
    ++round;
    if (MixBits(GetParam() * 1000 + round) % 4 == 0) {
      fleet_.store.LoseAnswers(1);
    }
    const auto name = [&](std::size_t author) {
      return std::to_string(author) + "-" + std::to_string(round);
    };
    for (std::size_t author = 0; author < kAuthors; ++author) {
      edit_row edit = EditOfLookup(seen[author], name(author));
      edit.settings.concurrency_limit = value[author] + 1;
      if (accepted[author] < kChangesEach) {
        fleet_.Edit(author * 2, edit);
      }
    }
    fleet_.RunUntil([this] { return !fleet_.has_open_edits(); }, 60s);
    for (std::size_t author = 0; author < kAuthors; ++author) {
      const auto answer = fleet_.AnswerTo(name(author));
      if (!answer) {
        continue;
      }
      ASSERT_NE(answer->status, admin_status::kUnknown);
      if (answer->status == admin_status::kAccepted) {
        ++accepted[author];
        ++done;
      }
      if (answer->row) {
        seen[author] = answer->row->version.value();
        value[author] = answer->row->settings.concurrency_limit;
      }
    }
  }
  ASSERT_EQ(done, kAuthors * kChangesEach);
  RunUntilInForce(1 + done);
  EXPECT_EQ(fleet_.rows(0).SettingsFor(kListings, kLookup).concurrency_limit,
            done);
}

TEST_P(a_table, DoesNotFollowAStoreThatWasRestoredToAnOlderState) {
  Accept(0, "c1");
  fleet_.store.Snapshot();
  Accept(1, "c2");
  RunUntilInForce(2);
  fleet_.store.Restore();
  fleet_.RunFor(60s);
  EXPECT_TRUE(fleet_.AllHoldVersion(kListings, kLookup, 2));
  EXPECT_GE(fleet_.CountOf(counter::kRowsRestored), 1U);
  const auto& value = fleet_.store.entries().at("table/listings/lookup").value;
  EXPECT_NE(value.find("\n2 c2 "), std::string::npos);
}

TEST_P(a_table, GivesNoVersionTwiceAfterTheStoreWasRestored) {
  Accept(0, "c1");
  fleet_.store.Snapshot();
  Accept(1, "c2");
  RunUntilInForce(2);
  fleet_.store.Restore();
  Accept(2, "c3");
  EXPECT_LE(RunUntilInForce(3), 3s);
}

TEST_P(a_table, IsLearnedByAReplacedNodeBeforeOthersSendItWork) {
  Accept(0, "c1");
  RunUntilInForce(1);
  fleet_.Stop(4);
  Accept(1, "c2");
  fleet_.store.set_down(true);
  fleet_.Start(4, {5, 6});
  fleet_.RunUntil(
      [this] {
        return fleet_.members(5)
                   .list()
                   .Find(fleet_.members(4).self().node)
                   ->state == member_state::kReady;
      },
      30s);
  const table_row* row = fleet_.rows(4).rows().Find(kListings, kLookup);
  ASSERT_NE(row, nullptr);
  EXPECT_EQ(row->version, row_version(2));
}

TEST_P(a_table, ReachesNodesThatWereCutOffAndTakesNothingOlderFromThem) {
  Accept(0, "c1");
  RunUntilInForce(1);
  fleet_.set_cut([](std::size_t from, std::size_t to) {
    return (from < kNodes / 2) != (to < kNodes / 2);
  });
  fleet_.store.set_down(true);
  fleet_.RunFor(30s);
  fleet_.store.set_down(false);
  Accept(1, "c2");
  fleet_.store.set_down(true);
  fleet_.RunFor(300s);
  fleet_.set_cut(nullptr);
  EXPECT_LE(RunUntilInForce(2), 60s);
}

TEST_P(a_table, KeepsADeletedRowAsATombstone) {
  Accept(0, "c1");
  edit_row deletion = EditOfLookup(1, "c2");
  deletion.is_deletion = true;
  EXPECT_EQ(Edit(3, deletion).status, admin_status::kAccepted);
  EXPECT_LE(RunUntilInForce(2), 3s);
  EXPECT_EQ(fleet_.rows(0).SettingsFor(kListings, kLookup), row_settings());
  Accept(0, "c3");
  EXPECT_LE(RunUntilInForce(3), 3s);
}

TEST(a_row_value, SurvivesItsCodec) {
  row_history_entry entry;
  entry.row.service = kListings;
  entry.row.request_class = kLookup;
  entry.row.version = row_version(9);
  entry.row.change = change_id("c9");
  entry.row.settings.is_idempotent = true;
  entry.row.settings.queue_limit = 7ms;
  entry.author = "kim";
  const std::string key = RowKey(kListings, kLookup);
  const auto read = DecodeRow(key, EncodeRow({entry, entry}));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->size(), 2U);
  EXPECT_EQ(read->front().row, entry.row);
  EXPECT_EQ(read->front().author, "kim");
}

TEST(a_row_value, IsRefusedIfItIsCutShortOrOutOfRange) {
  const std::string key = RowKey(kListings, kLookup);
  const std::string value = EncodeRow({row_history_entry{}});
  for (std::size_t size = 0; size + 1 < value.size(); ++size) {
    EXPECT_FALSE(DecodeRow(key, value.substr(0, size))) << size;
  }
  EXPECT_FALSE(DecodeRow("table/UPPER/x", value));
  EXPECT_FALSE(DecodeRow(key, "auburnfold-row 1\n1 c a 0 0 3 0 2 1 1 0\n"));
}

TEST(an_edit, IsRefusedWithColumnReasonAndRange) {
  edit_row edit = EditOfLookup(0, "c1");
  edit.settings.weight = 1001;
  EXPECT_EQ(Validate(edit), "weight: 1001 is not between 1 and 1000");
  edit = EditOfLookup(0, "c1");
  edit.service = service_name("a/b");
  EXPECT_TRUE(Validate(edit)->starts_with("service: "));
  edit = EditOfLookup(0, "two words");
  EXPECT_TRUE(Validate(edit)->starts_with("change: "));
}

}  // namespace
}  // namespace auburnfold
