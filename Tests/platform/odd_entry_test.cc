#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/Quarantine/crash_codec.h"
#include "LibDecision/Registry/member_codec.h"
#include "LibDecision/reducer.h"
#include "LibWire/base64.h"
#include "platform/store_protocol.h"

namespace auburnfold::platform {
namespace {

using namespace std::chrono_literals;

constexpr int kNesting = 10'000;
constexpr std::size_t kMegabyte = 1'000'000;

std::string Repeat(std::string_view text, std::size_t count) {
  std::string repeated;
  for (std::size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

std::string Nested(std::string_view open, std::string_view close) {
  return Repeat(open, kNesting) + "1" + Repeat(close, kNesting);
}

std::string Quoted(std::string_view text) {
  return '"' + std::string(text) + '"';
}

/// JSON of an item of the store with these parts.
std::string Item(std::string_view key,
                 std::string_view revision,
                 std::string_view value) {
  return R"({"key":")" + std::string(key) + R"(","revision":)" +
         std::string(revision) + R"(,"value":)" + std::string(value) + "}";
}

member_record RecordOf(std::uint64_t node) {
  return {.node = node_id(node),
          .run = incarnation(4),
          .address = {.host = "10.0.0.2", .peer_port = 80},
          .domain = domain_name("d2"),
          .service = service_name("lots"),
          .slots = 18};
}

std::string GoodItem(std::uint64_t node, std::uint64_t revision) {
  const member_record record = RecordOf(node);
  return Item(MemberKey(record.node), std::to_string(revision),
              Quoted(ToBase64(EncodeMember(record))));
}

/// An item whose value the store holds, but that is no record of a node.
std::string ItemHolding(std::string_view key,
                        std::string_view revision,
                        std::string_view bytes) {
  return Item(key, revision, Quoted(ToBase64(bytes)));
}

std::string RecordText(std::string_view host, std::string_view port) {
  return "auburnfold-node-1 4 0 0 " + std::string(host) + " " +
         std::string(port) + " 0 d2 lots 18 ";
}

struct odd_item {
  const char* name;
  /// JSON of an item with this key and revision.
  std::function<std::string(std::string_view key, std::string_view revision)>
      make;
};

void PrintTo(const odd_item& item, std::ostream* out) {
  *out << item.name;
}

odd_item WithValue(const char* name, const std::string& value) {
  return {name, [value](std::string_view key, std::string_view revision) {
            return Item(key, revision, value);
          }};
}

odd_item Holding(const char* name, const std::string& bytes) {
  return {name, [bytes](std::string_view key, std::string_view revision) {
            return ItemHolding(key, revision, bytes);
          }};
}

/// Each hides its value or leaves it out.
std::vector<odd_item> OddItems() {
  return {
      WithValue("NestedLists", Nested("[", "]")),
      WithValue("NestedObjects", Nested(R"({"a":)", "}")),
      WithValue("AFieldOfUnclosedLists", Quoted(Repeat("[", kNesting))),
      WithValue("ANumberOf400Digits", Repeat("9", 400)),
      WithValue("AnInfiniteNumber", "1e999"),
      WithValue("ANumberBeyondAnyExponent", "1e99999999999"),
      WithValue("ANegativeNumber", "-1"),
      WithValue("AFraction", "0.5"),
      WithValue("NotANumber", "NaN"),
      WithValue("Null", "null"),
      WithValue("BytesThatAreNoUtf8", "\"\xff\xfe\xc3\x28\""),
      WithValue("ANulByte", std::string("\"a\0b\"", 5)),
      WithValue("AnEscapedNulByte", R"("\u0000")"),
      WithValue("NoBase64", R"("%%%%")"),
      WithValue("NoValueAtAll", ""),
      WithValue("TwoValues", R"("","value":"%")"),
      Holding("AnEmptyValue", ""),
      Holding("AMegabyteOfOneField",
              RecordText(std::string(kMegabyte, 'a'), "80")),
      Holding("AMegabyteOfService",
              "auburnfold-node-1 4 0 0 10.0.0.2 80 0 d2 " +
                  std::string(kMegabyte, 'a') + " 18 "),
      Holding("ARecordOfNestedLists", Nested("[", "]")),
      Holding("BytesThatAreNoUtf8InARecord",
              "auburnfold-node-1 4 0 0 10.0.0.2 80 0 d2 \xff\xfe 18 "),
      Holding("ANulByteInARecord",
              RecordText(std::string_view("10.0.0.2\0x", 10), "80")),
      Holding("ALineFeedInARecord", RecordText("10.0.0.2\n\n", "80")),
      Holding("AHostThatIsNoAddress", RecordText("elsewhere", "80")),
      Holding("PortZero", RecordText("10.0.0.2", "0")),
      Holding("Port65536", RecordText("10.0.0.2", "65536")),
      Holding("PortOfTwoToThe64",
              RecordText("10.0.0.2", "18446744073709551616")),
      Holding("ANegativePort", RecordText("10.0.0.2", "-80")),
      Holding("AFractionOfAPort", RecordText("10.0.0.2", "80.5")),
      Holding("APortOf400Digits", RecordText("10.0.0.2", Repeat("9", 400))),
      Holding("AnUnknownState",
              "auburnfold-node-1 4 0 9 10.0.0.2 80 0 d2 lots 18 "),
  };
}

/// A node of the platform. The test answers its calls of the store in JSON.
class a_node_that_follows_a_list : public testing::Test {
 protected:
  static constexpr std::uint64_t kOther = 2;
  static constexpr std::uint64_t kOdd = 3;
  static constexpr std::uint64_t kListed = 10;

  a_node_that_follows_a_list()
      : node_({.discovery = discovery_mode::kRegistry,
               .settings = settings_source::kRoutes,
               .route_key = "routes"}) {
    Happen(node_started{.node = node_id(1),
                        .run = incarnation(5),
                        .address = {.host = "10.0.0.1", .peer_port = 80},
                        .domain = domain_name("d1")});
  }

  effects Happen(event_content content) {
    now_ += 1ms;
    effects made = Reduce(node_, {now_, ++entropy_, std::move(content)});
    for (const effect& each : made) {
      if (const auto* call = std::get_if<call_store>(&each)) {
        calls_.push_back(*call);
      }
      if (const auto* logged = std::get_if<log_decision>(&each)) {
        logged_.push_back(logged->record);
      }
    }
    return made;
  }

  void Pass(duration time) {
    for (const instant end = now_ + time; now_ < end; now_ += 20ms) {
      Happen(time_passed{});
    }
  }

  /// The oldest call of this kind that was not answered, about the registry if
  /// it names a prefix.
  template <class request>
  std::optional<request> Next() {
    const auto found =
        std::find_if(calls_.begin(), calls_.end(), [](const call_store& call) {
          const auto* wanted = std::get_if<request>(&call.request);
          if constexpr (requires { wanted->prefix; }) {
            return wanted != nullptr && wanted->prefix == kRegistryPrefix;
          }
          return wanted != nullptr;
        });
    if (found == calls_.end()) {
      return std::nullopt;
    }
    answering_ = *found;
    calls_.erase(found);
    return std::get<request>(answering_.request);
  }

  void Answer(std::uint16_t http_status, const std::string& body) {
    Happen(store_answered{
        answering_.call,
        ParseHttpResponse(answering_.request, http_status, body).result});
  }

  static std::string Body(std::string_view list,
                          const std::vector<std::string>& items,
                          std::uint64_t as_of) {
    std::string body = "{" + Quoted(list) + ":[";
    for (const std::string& item : items) {
      body += (body.back() == '[' ? "" : ",") + item;
    }
    return body + R"(],"hasMore":false,"asOf":)" + std::to_string(as_of) + "}";
  }

  void AnswerListing(const std::vector<std::string>& items) {
    ASSERT_TRUE(Next<store_list>());
    Answer(200, Body("items", items, kListed));
  }

  void AnswerWatch(const std::vector<std::string>& events,
                   std::uint64_t as_of) {
    ASSERT_TRUE(Next<store_watch>());
    Answer(200, Body("events", events, as_of));
  }

  /// The lines of the log about entries that are not used.
  std::vector<decision_record> Ignored() const {
    std::vector<decision_record> lines;
    std::copy_if(logged_.begin(), logged_.end(), std::back_inserter(lines),
                 [](const decision_record& record) {
                   return record.kind == decision_kind::kStoreEntryIgnored;
                 });
    return lines;
  }

  static std::string OddKey() { return MemberKey(node_id(kOdd)); }

  /// The state in which the node holds another one.
  std::optional<member_state> StateOf(std::uint64_t node) {
    for (const effect& each :
         Happen(admin_requested{admin_call_id(1), read_members{}})) {
      const auto* answer = std::get_if<answer_admin>(&each);
      if (answer == nullptr) {
        continue;
      }
      for (const member_record& record : answer->result.members) {
        if (record.node == node_id(node)) {
          return record.state;
        }
      }
    }
    return std::nullopt;
  }

  node_state node_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  std::vector<call_store> calls_;
  std::vector<decision_record> logged_;
  call_store answering_;
};

class an_odd_entry : public a_node_that_follows_a_list,
                     public testing::WithParamInterface<odd_item> {
 protected:
  static std::string Odd(std::uint64_t revision) {
    return GetParam().make(OddKey(), std::to_string(revision));
  }
};

TEST_P(an_odd_entry, InAListingNamesNobodyAndTheOthersHold) {
  AnswerListing({Odd(7), GoodItem(kOther, 8)});
  EXPECT_EQ(StateOf(kOther), member_state::kReady);
  EXPECT_FALSE(StateOf(kOdd));
}

TEST_P(an_odd_entry, InAWatchDoesNotTakeTheOthersAlong) {
  AnswerListing({});
  AnswerWatch({Odd(11), GoodItem(kOther, 12)}, 12);
  EXPECT_EQ(StateOf(kOther), member_state::kReady);
  EXPECT_FALSE(StateOf(kOdd));
}

// The store answers a watch of a revision that it has passed at once, so the
// node would ask without a pause.
TEST_P(an_odd_entry, IsNotAskedForAgain) {
  AnswerListing({GoodItem(kOther, 8)});
  AnswerWatch({Odd(11)}, 11);
  Pass(1s);
  const auto next = Next<store_watch>();
  ASSERT_TRUE(next);
  EXPECT_EQ(next->after, store_revision(11));
}

TEST_P(an_odd_entry, IsFollowedByTheNextGoodOneUnderItsKey) {
  AnswerListing({Odd(7), GoodItem(kOther, 8)});
  AnswerWatch({GoodItem(kOdd, 11)}, 11);
  EXPECT_EQ(StateOf(kOdd), member_state::kReady);
}

TEST_P(an_odd_entry, IsLoggedOnceForEachRevisionWithItsKeyAndField) {
  AnswerListing({Odd(7)});
  Pass(61s);
  AnswerWatch({}, kListed);
  AnswerListing({Odd(7)});
  ASSERT_EQ(Ignored().size(), 1U);
  EXPECT_EQ(Ignored()[0].revision, store_revision(7));
  EXPECT_EQ(Ignored()[0].entry->key, OddKey());
  EXPECT_FALSE(Ignored()[0].entry->field.empty());
  AnswerWatch({Odd(11)}, 11);
  ASSERT_EQ(Ignored().size(), 2U);
  EXPECT_EQ(Ignored()[1].revision, store_revision(11));
}

// An entry that another writer left has no lease and does not end.
TEST_P(an_odd_entry, DoesNotKeepADeadNodeAMember) {
  AnswerListing({GoodItem(kOdd, 7), GoodItem(kOther, 8)});
  AnswerWatch({Odd(11)}, 11);
  Pass(6s);
  EXPECT_EQ(StateOf(kOdd), member_state::kGone);
  EXPECT_EQ(StateOf(kOther), member_state::kReady);
}

INSTANTIATE_TEST_SUITE_P(Every,
                         an_odd_entry,
                         testing::ValuesIn(OddItems()),
                         [](const auto& each) { return each.param.name; });

class an_odd_entry_under_the_nodes_own_key : public an_odd_entry {};

// The store names the entry that stands in the way of a write. A node that
// takes it for none writes under the same condition again, without a pause.
TEST_P(an_odd_entry_under_the_nodes_own_key, IsOverwritten) {
  AnswerListing({});
  Happen(endpoint_reported{
      .service = service_name("lots"), .run = incarnation(3), .slots = 18});
  ASSERT_TRUE(Next<store_grant_lease>());
  Answer(200, R"({"lease":77,"ttlS":9})");
  ASSERT_TRUE(Next<store_compare_and_swap>());
  Answer(412,
         R"({"items":[)" + GetParam().make(MemberKey(node_id(1)), "9") + "]}");
  const auto again = Next<store_compare_and_swap>();
  ASSERT_TRUE(again);
  EXPECT_EQ(again->expected, store_revision(9));
}

INSTANTIATE_TEST_SUITE_P(Every,
                         an_odd_entry_under_the_nodes_own_key,
                         testing::ValuesIn(OddItems()),
                         [](const auto& each) { return each.param.name; });

class an_odd_entry_under_the_key_of_a_crash : public an_odd_entry {
 protected:
  static std::string OddCrash() {
    return GetParam().make(CrashKey(kCrash), "9");
  }

  /// The node learns of a crash, and lists the registry once more.
  void ListAgain(const std::vector<std::string>& items) {
    AnswerListing({});
    peer_view view;
    view.crashes.push_back(
        {.id = kCrash, .suspects = {request_digest(666)}, .time_left = 500s});
    Happen(view_received{view});
    Pass(61s);
    AnswerWatch({}, kListed);
    AnswerListing(items);
    Pass(3s);
  }

  /// The revision that the node expects when it writes its record of the crash.
  /// The write meets the odd entry.
  std::optional<store_revision> ExpectedByWrite() {
    if (!Next<store_grant_lease>()) {
      return std::nullopt;
    }
    Answer(200, R"({"lease":77,"ttlS":500})");
    const auto write = Next<store_compare_and_swap>();
    if (!write) {
      return std::nullopt;
    }
    Answer(412, R"({"items":[)" + OddCrash() + "]}");
    return write->expected;
  }

  static inline const crash_id kCrash{5};
};

TEST_P(an_odd_entry_under_the_key_of_a_crash, IsOverwritten) {
  ListAgain({OddCrash()});
  EXPECT_EQ(ExpectedByWrite(), store_revision(9));
}

// Three calls of the store each time, without a pause and without an end.
TEST_P(an_odd_entry_under_the_key_of_a_crash, IsOverwrittenIfAWriteMeetsIt) {
  ListAgain({});
  EXPECT_EQ(ExpectedByWrite(), store_revision());
  EXPECT_EQ(ExpectedByWrite(), store_revision(9));
}

INSTANTIATE_TEST_SUITE_P(Every,
                         an_odd_entry_under_the_key_of_a_crash,
                         testing::ValuesIn(OddItems()),
                         [](const auto& each) { return each.param.name; });

/// Items without a key or revision that can be read.
constexpr const char* kItemsWithoutARevision[] = {
    R"({"key":"auburnfold/nodes/3","revision":18446744073709551616,"value":""})",
    R"({"key":"auburnfold/nodes/3","revision":-7,"value":""})",
    R"({"key":"auburnfold/nodes/3","revision":7.5,"value":""})",
    R"({"key":"auburnfold/nodes/3","revision":1e99999999999,"value":""})",
    R"({"key":["auburnfold/nodes/3"],"revision":7,"value":""})",
    "{\"key\":\"auburnfold/nodes/\xff\",\"revision\":7,\"value\":\"\"}",
    R"({"key":"auburnfold/nodes/3"})",
    R"([[[]]])",
    R"("auburnfold/nodes/3")",
    "7",
    "null",
    "true",
    "{}",
};

class an_item_without_a_key_or_revision
    : public a_node_that_follows_a_list,
      public testing::WithParamInterface<const char*> {};

TEST_P(an_item_without_a_key_or_revision, LeavesTheOthersAndTheWatch) {
  AnswerListing({GetParam(), GoodItem(kOther, 8)});
  EXPECT_EQ(StateOf(kOther), member_state::kReady);
  AnswerWatch({GetParam()}, 12);
  Pass(1s);
  const auto next = Next<store_watch>();
  ASSERT_TRUE(next);
  EXPECT_EQ(next->after, store_revision(12));
}

INSTANTIATE_TEST_SUITE_P(Every,
                         an_item_without_a_key_or_revision,
                         testing::ValuesIn(kItemsWithoutARevision));

class a_key_of_another_writer : public a_node_that_follows_a_list {};

// Two keys that name one node take turns.
TEST_F(a_key_of_another_writer, ThatIsSpelledOtherwiseNamesNobody) {
  for (const char* key :
       {"auburnfold/nodes/003", "auburnfold/nodes/-3", "auburnfold/nodes/+3",
        "auburnfold/nodes/18446744073709551619", "auburnfold/nodes/3.0"}) {
    EXPECT_FALSE(DecodeMember(key, EncodeMember(RecordOf(kOdd)))) << key;
  }
}

TEST_F(a_key_of_another_writer, IsLoggedAsPrintableText) {
  AnswerListing(
      {Item(R"(auburnfold/nodes/\u0001\u00e4)" + std::string(kMegabyte, 'a'),
            "7", R"("")")});
  ASSERT_EQ(Ignored().size(), 1U);
  const std::string key = Ignored()[0].entry->key;
  EXPECT_TRUE(key.starts_with("auburnfold/nodes/???aaa")) << key;
  EXPECT_EQ(key.size(), 200U);
  EXPECT_EQ(Ignored()[0].entry->field, "key");
}

}  // namespace
}  // namespace auburnfold::platform
