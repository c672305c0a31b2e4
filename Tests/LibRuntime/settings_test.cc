#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <optional>
#include <string>

#include "LibRuntime/Settings/node_settings.h"

namespace auburnfold {
namespace {

constexpr std::string_view kRequired =
    R"("host":"10.0.0.1","domain":"a","call_port":1,"peer_port":2,)"
    R"("control_port":3,"admin_port":4)";

struct loaded {
  std::optional<node_settings> settings;
  std::optional<settings_error> error;
};

loaded Outcome(const std::function<leaf::result<node_settings>()>& load) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<loaded> {
        BOOST_LEAF_AUTO(settings, load());
        return loaded{.settings = settings};
      },
      [](const settings_error& error) { return loaded{.error = error}; },
      [] { return loaded{}; });
}

loaded Parse(const std::string& text) {
  return Outcome([&] { return ParseNodeSettings("node.json", text); });
}

std::string With(std::string_view more) {
  return "{" + std::string(kRequired) + "," + std::string(more) + "}";
}

class settings_of_a_node : public testing::Test {
 protected:
  static void ExpectRefused(const std::string& text,
                            const std::string& key,
                            const std::string& reason) {
    const loaded read = Parse(text);
    ASSERT_TRUE(read.error) << text;
    EXPECT_EQ(read.error->file, "node.json");
    EXPECT_EQ(read.error->key, key);
    EXPECT_EQ(read.error->reason, reason);
  }
};

class what_is_read : public settings_of_a_node {};

TEST_F(what_is_read, MayHaveCommentsAndLeavesTheRestAtItsDefaults) {
  const loaded read =
      Parse("// a node\n{" + std::string(kRequired) + " /* end */,}");
  ASSERT_TRUE(read.settings) << read.error->reason;
  EXPECT_EQ(read.settings->host, "10.0.0.1");
  EXPECT_EQ(read.settings->control_port, 3);
  EXPECT_EQ(read.settings->endpoint_host, "127.0.0.1");
  EXPECT_EQ(read.settings->stop_limit, std::chrono::seconds(30));
}

TEST_F(what_is_read, TakesEachOptionalKey) {
  const loaded read = Parse(
      With(R"("node":"ff","endpoint_host":"10.0.0.2","store_host":"10.0.0.3",)"
           R"("store_port":5,"stop_limit_ms":7,"stop_linger_ms":8,)"
           R"("label_limit":9,"log_level":"warn",)"
           R"("capacity_planning":"with_downloads","admin":{"tokens":[1]},)"
           R"("seeds":[{"host":"::1","peer_port":10,"control_port":11}])"));
  ASSERT_TRUE(read.settings) << read.error->key;
  const node_settings& settings = *read.settings;
  EXPECT_EQ(settings.node, node_id(255));
  EXPECT_EQ(settings.endpoint_host, "10.0.0.2");
  EXPECT_EQ(settings.store_host, "10.0.0.3");
  EXPECT_EQ(settings.store_port, 5);
  EXPECT_EQ(settings.stop_limit.count(), 7);
  EXPECT_EQ(settings.stop_linger.count(), 8);
  EXPECT_EQ(settings.label_limit, 9U);
  EXPECT_EQ(settings.log_level, "warn");
  EXPECT_EQ(settings.capacity_planning, "with_downloads");
  EXPECT_EQ(settings.admin, R"({"tokens":[1]})");
  EXPECT_EQ(settings.seeds, (std::vector{node_address{"::1", 10, 11}}));
}

TEST_F(what_is_read, GivesTheSameNodeIdAtEachStartAtOneAddress) {
  const loaded first = Parse(With(R"("log_level":"off")"));
  const loaded second = Parse(With(R"("stop_limit_ms":1)"));
  EXPECT_EQ(first.settings->node, second.settings->node);
  EXPECT_NE(first.settings->node, node_id(0));
}

class what_is_refused : public settings_of_a_node {};

TEST_F(what_is_refused, IsAFileThatIsNotThere) {
  const loaded read =
      Outcome([] { return LoadNodeSettings("no-such-file.json"); });
  ASSERT_TRUE(read.error);
  EXPECT_EQ(read.error->file, "no-such-file.json");
  EXPECT_EQ(read.error->reason, "cannot be read");
}

TEST_F(what_is_refused, IsTextThatIsNotJsonOrNotAnObject) {
  ExpectRefused("[]", "", "must be one JSON object");
  EXPECT_TRUE(Parse("{").error->reason.starts_with("is not JSON: "));
}

TEST_F(what_is_refused, IsAnUnknownKeyAlsoWithinAnAddress) {
  ExpectRefused(With(R"("hots":"10.0.0.1")"), "hots", "is not a known key");
  ExpectRefused(
      With(R"("seeds":[{"host":"::1","peer_port":1,"control_port":2,"x":3}])"),
      "seeds[0].x", "is not a known key");
}

TEST_F(what_is_refused, IsAMissingKey) {
  ExpectRefused(R"({"host":"10.0.0.1"})", "domain", "is missing");
  ExpectRefused(With(R"("store_host":"10.0.0.1")"), "store_port", "is missing");
  ExpectRefused(With(R"("seeds":[{"host":"::1","peer_port":1}])"),
                "seeds[0].control_port", "is missing");
}

TEST_F(what_is_refused, IsAValueOutOfItsRange) {
  ExpectRefused(With(R"("stop_limit_ms":600001)"), "stop_limit_ms",
                "must be an integer from 0 to 600000");
  ExpectRefused(With(R"("stop_limit_ms":-1)"), "stop_limit_ms",
                "must be an integer from 0 to 600000");
  ExpectRefused(With(R"("label_limit":0)"), "label_limit",
                "must be an integer from 1 to 1000");
  ExpectRefused(With(R"("store_host":"10.0.0.1","store_port":65536)"),
                "store_port", "must be an integer from 0 to 65535");
}

TEST_F(what_is_refused, IsAValueOfAnotherKind) {
  ExpectRefused(With(R"("endpoint_host":"localhost")"), "endpoint_host",
                "must be an IP address");
  ExpectRefused(With(R"("node":"xyz")"), "node",
                "must be 1 to 16 hexadecimal digits, not all zero");
  ExpectRefused(With(R"("log_level":"loud")"), "log_level",
                "must be one of off error warn info debug");
  ExpectRefused(With(R"("seeds":{})"), "seeds", "must be a list of addresses");
  ExpectRefused(With(R"("admin":1)"), "admin", "must be an object");
  ExpectRefused(With(R"("label_limit":1.5)"), "label_limit",
                "must be an integer from 1 to 1000");
}

}  // namespace
}  // namespace auburnfold
