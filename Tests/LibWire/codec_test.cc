#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <limits>
#include <optional>
#include <string>
#include <variant>

#include "LibWire/cbor_codec.h"
#include "LibWire/json_codec.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kHighest = std::numeric_limits<std::uint64_t>::max();

member_record Record() {
  return {
      node_id(kHighest),       incarnation(5),         3,
      member_state::kLeaving,  {"10.0.0.1", 65535, 1}, domain_name("cardiff-a"),
      service_name("listings")};
}

table_row Row() {
  table_row row{service_name("faults"), class_name("alert"), row_version(9),
                change_id("change-1"), true};
  row.settings = {.weight = 1000,
                  .priority = 7,
                  .concurrency_limit = 15,
                  .retry_allowance = 16,
                  .longest_deadline = 600s,
                  .queue_limit = 1ns,
                  .is_idempotent = true};
  return row;
}

template <class kind>
peer_message With(kind content) {
  return {node_id(1), incarnation(2), {"::1", 7002, 7003}, std::move(content)};
}

std::vector<peer_message> EveryKind() {
  return {With(heartbeat{kHighest, 0}),
          With(member_update{{Record(), member_record{}}}),
          With(row_update{{Row(), table_row{}}}),
          With(bucket_digests{{1, kHighest}, {}}),
          With(bucket_request{{65535}, {0, 1}})};
}

// One of the two: what was read, or why not.
struct decoded {
  std::optional<peer_message> message;
  std::optional<decode_error> error;
};

template <class codec>
decoded Decode(std::span<const std::uint8_t> bytes) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<decoded> {
        BOOST_LEAF_AUTO(message, codec::Decode(bytes));
        return decoded{.message = std::move(message)};
      },
      [](decode_error error) { return decoded{.error = error}; },
      [] { return decoded{}; });
}

template <class codec>
class a_codec : public testing::Test {};

using codecs = testing::Types<cbor_codec, json_codec>;
TYPED_TEST_SUITE(a_codec, codecs);

TYPED_TEST(a_codec, GivesEveryKindOfMessageBack) {
  for (const peer_message& message : EveryKind()) {
    const decoded read = Decode<TypeParam>(TypeParam::Encode(message));
    ASSERT_TRUE(read.message) << "content " << message.content.index();
    EXPECT_EQ(read.message->from, message.from);
    EXPECT_EQ(read.message->from_run, message.from_run);
    EXPECT_EQ(read.message->from_address, message.from_address);
    EXPECT_EQ(read.message->content.index(), message.content.index());
    EXPECT_EQ(TypeParam::Encode(*read.message), TypeParam::Encode(message));
  }
}

TYPED_TEST(a_codec, KeepsEachFieldOfRecordsAndRows) {
  const decoded members =
      Decode<TypeParam>(TypeParam::Encode(With(member_update{{Record()}})));
  EXPECT_EQ(std::get<member_update>(members.message->content).records,
            std::vector{Record()});
  const decoded rows =
      Decode<TypeParam>(TypeParam::Encode(With(row_update{{Row()}})));
  EXPECT_EQ(std::get<row_update>(rows.message->content).rows,
            std::vector{Row()});
}

TYPED_TEST(a_codec, RefusesEveryTruncatedMessage) {
  for (const peer_message& message : EveryKind()) {
    const wire_bytes bytes = TypeParam::Encode(message);
    for (std::size_t length = 0; length < bytes.size(); ++length) {
      const decoded read = Decode<TypeParam>(std::span(bytes).first(length));
      EXPECT_TRUE(read.error) << "first " << length << " bytes";
    }
  }
}

TYPED_TEST(a_codec, ReadsOrRefusesEveryMessageWithOneChangedByte) {
  for (const peer_message& message : EveryKind()) {
    wire_bytes bytes = TypeParam::Encode(message);
    for (std::uint8_t& byte : bytes) {
      const std::uint8_t original = byte;
      for (const int value : {0x00, 0x1b, 0x5f, 0x7f, 0x9b, 0xbf, 0xff}) {
        byte = static_cast<std::uint8_t>(value);
        const decoded read = Decode<TypeParam>(bytes);
        EXPECT_NE(read.message.has_value(), read.error.has_value());
      }
      byte = original;
    }
  }
}

TYPED_TEST(a_codec, RefusesBytesAfterTheMessage) {
  wire_bytes bytes = TypeParam::Encode(With(heartbeat{}));
  bytes.push_back('1');
  EXPECT_EQ(Decode<TypeParam>(bytes).error, decode_error::kMalformed);
}

TYPED_TEST(a_codec, RefusesTooManyBytesUnread) {
  EXPECT_EQ(Decode<TypeParam>(wire_bytes(kMaxMessageBytes + 1)).error,
            decode_error::kTooLarge);
}

decode_error WhyNot(const std::string& text) {
  const wire_bytes bytes(text.begin(), text.end());
  return Decode<json_codec>(bytes).error.value();
}

TEST(AMessage, OfAnotherFormatVersionIsRefused) {
  EXPECT_EQ(WhyNot(R"([2,1,2,["a",1,1],0,[0,0]])"),
            decode_error::kUnknownVersion);
}

TEST(AMessage, OfAnUnknownKindIsRefused) {
  EXPECT_EQ(WhyNot(R"([1,1,2,["a",1,1],5,[0,0]])"),
            decode_error::kUnknownMessageKind);
}

TEST(AMessage, WithAFieldOfAnotherTypeOrOutOfRangeIsRefused) {
  for (const char* text :
       {R"([1,1,2,["a",1,1],0,[0]])", R"([1,1,2,["a",1,1],0,[0,0,0]])",
        R"([1,1,2,["a",1,65536],0,[0,0]])", R"([1,-1,2,["a",1,1],0,[0,0]])",
        R"([1,1,2,["a",1,1],0,["0",0]])", R"([1,1,2,"a",0,[0,0]])",
        R"([1,1,2,["a",1,1],1,[[1,1,1,3,["a",1,1],"d","s"]]])",
        R"([1,1,2,["a",1,1],4,[[65536],[]]])", R"({"1":2})", R"([])",
        R"(null)"}) {
    EXPECT_EQ(WhyNot(text), decode_error::kSchemaMismatch) << text;
  }
}

TEST(CborThatNestsWithoutEnd, IsRefusedBeforeItExhaustsTheStack) {
  constexpr std::uint8_t kListOfOne = 0x81;
  const wire_bytes bytes(kMaxMessageBytes, kListOfOne);
  EXPECT_EQ(Decode<cbor_codec>(bytes).error, decode_error::kMalformed);
}

TEST(CborOfANeighboursMessage, IsShorterThanItsJson) {
  for (const peer_message& message : EveryKind()) {
    EXPECT_LT(cbor_codec::Encode(message).size(),
              json_codec::Encode(message).size());
  }
}

}  // namespace
}  // namespace auburnfold
