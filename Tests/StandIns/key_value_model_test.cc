#include "StandIns/key_value_model.h"

#include <gtest/gtest.h>

#include "StandIns/store_calls.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class a_store : public testing::Test {
 protected:
  std::uint64_t Write(const std::string& key, std::uint64_t expected) {
    const write_result result = store_.Put(key, "v", expected, std::nullopt);
    return std::get<key_value_entry>(result).revision;
  }

  key_value_model store_;
};

class a_compare_and_swap : public a_store {};

TEST_F(a_compare_and_swap, WritesOnlyOverTheExpectedRevision) {
  const std::uint64_t first = Write("a", 0);
  EXPECT_GT(Write("a", first), first);
  const write_result late = store_.Put("a", "w", first, std::nullopt);
  const auto* conflict = std::get_if<key_value_conflict>(&late);
  ASSERT_NE(conflict, nullptr);
  ASSERT_TRUE(conflict->current);
  EXPECT_EQ(conflict->current->value, "v");
}

TEST_F(a_compare_and_swap, RefusesAValueAboveTheLimit) {
  const std::string value(kStoreValueLimitBytes + 1, 'v');
  EXPECT_TRUE(std::holds_alternative<value_too_large>(
      store_.Put("a", value, 0, std::nullopt)));
  EXPECT_FALSE(store_.Get("a"));
}

class a_watch : public a_store {};

TEST_F(a_watch, SeesOnlyWhatIsNewerUnderItsPrefix) {
  const std::uint64_t first = Write("rows/a", 0);
  Write("rows/b", 0);
  Write("nodes/a", 0);
  const std::vector<key_value_entry> newer = store_.List("rows/", first);
  ASSERT_EQ(newer.size(), 1U);
  EXPECT_EQ(newer[0].key, "rows/b");
}

class a_lease : public a_store {};

TEST_F(a_lease, TakesItsKeysAwayWhenItLapses) {
  const std::uint64_t lease = store_.CreateLease(instant{0s}, 10s);
  store_.Put("a", "v", 0, lease);
  Write("b", 0);
  EXPECT_TRUE(store_.RenewLease(instant{9s}, lease));
  EXPECT_TRUE(store_.LapseLeases(instant{18s}).empty());
  EXPECT_EQ(store_.LapseLeases(instant{19s}), std::vector<std::string>{"a"});
  EXPECT_FALSE(store_.Get("a"));
  EXPECT_TRUE(store_.Get("b"));
}

TEST_F(a_lease, CannotBeRenewedOrUsedOnceItHasLapsed) {
  const std::uint64_t lease = store_.CreateLease(instant{0s}, 10s);
  EXPECT_FALSE(store_.RenewLease(instant{10s}, lease));
  store_.LapseLeases(instant{10s});
  EXPECT_TRUE(
      std::holds_alternative<lease_lapsed>(store_.Put("a", "v", 0, lease)));
}

class a_snapshot : public a_store {};

TEST_F(a_snapshot, BringsOldValuesAndRevisionsBack) {
  const std::uint64_t old = Write("a", 0);
  store_.SaveSnapshot("monday");
  Write("a", old);
  ASSERT_TRUE(store_.RestoreSnapshot("monday"));
  EXPECT_EQ(store_.Get("a")->revision, old);
  EXPECT_EQ(store_.revision(), old);
  EXPECT_FALSE(store_.RestoreSnapshot("tuesday"));
}

class a_store_call : public testing::Test {
 protected:
  static std::optional<store_call> Parse(boost::beast::http::verb method,
                                         const char* target,
                                         const char* body = "") {
    http_request request(method, target, kHttp11);
    request.body() = body;
    return ParseStoreCall(request);
  }
};

using boost::beast::http::verb;

TEST_F(a_store_call, DecodesItsKeyAndValue) {
  const auto call = Parse(
      verb::post, "/kv-txn",
      R"({"expect":[{"key":"rows/a b","revision":7}],)"
      R"("writes":[{"key":"rows/a b","value":"bmV3","lease":3}],"remove":[]})");
  ASSERT_TRUE(call);
  EXPECT_EQ(call->key, "rows/a b");
  EXPECT_EQ(call->expected, 7U);
  EXPECT_EQ(call->value, "new");
  EXPECT_EQ(call->lease, 3U);
}

TEST_F(a_store_call, DecodesItsQuery) {
  const auto call =
      Parse(verb::get, "/kv-watch?prefix=rows%2F&after=7&waitMs=50");
  ASSERT_TRUE(call);
  EXPECT_EQ(call->prefix, "rows/");
  EXPECT_EQ(call->after, 7U);
  EXPECT_EQ(call->wait_ms, 50U);
}

TEST_F(a_store_call, IsRefusedIfItIsIncomplete) {
  EXPECT_FALSE(Parse(verb::post, "/kv-txn", "{}"));
  EXPECT_FALSE(Parse(verb::post, "/kv-txn", "no JSON"));
  EXPECT_FALSE(Parse(verb::post, "/kv-lease", "{}"));
  EXPECT_FALSE(Parse(verb::post, "/kv-keep/x"));
  EXPECT_FALSE(Parse(verb::get, "/kv-key"));
  EXPECT_FALSE(Parse(verb::get, "/v2/kv?key=a"));
}

}  // namespace
}  // namespace auburnfold
