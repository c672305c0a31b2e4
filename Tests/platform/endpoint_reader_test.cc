#include "platform/endpoint_reader.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace auburnfold::platform {
namespace {

constexpr char kBeat[] =
    R"({"service":"s","address":"10.1.0.8:8301","zone":"z","version":"v1",)"
    R"("slots":129,"state":"ready","coldS_time":1.5,"seq":4,"born":170000})";

http_request Report(http::verb method,
                    const std::string& target,
                    const std::string& body) {
  http_request request(method, target, kHttp11);
  request.body() = body;
  return request;
}

class a_heartbeat : public testing::Test {
 protected:
  static leaf::result<endpoint_report> Read(
      const std::string& body,
      const std::string& target = "/instances/i-7") {
    return ReadEndpointReport(Report(http::verb::put, target, body));
  }

  static std::string With(const std::string& from, const std::string& to) {
    std::string body = kBeat;
    body.replace(body.find(from), from.size(), to);
    return body;
  }
};

TEST_F(a_heartbeat, DescribesTheEndpoint) {
  const auto read = Read(kBeat);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->port, 8301);
  EXPECT_EQ(read->content.name, endpoint_name("i-7"));
  EXPECT_EQ(read->content.service, service_name("s"));
  EXPECT_EQ(read->content.run, incarnation(170000));
  EXPECT_EQ(read->content.sequence, 4U);
  EXPECT_EQ(read->content.slots, 129U);
  EXPECT_EQ(read->content.cold_time_left, std::chrono::milliseconds(1500));
  EXPECT_EQ(read->content.state, endpoint_state::kReady);
}

TEST_F(a_heartbeat, SaysThatTheEndpointLeaves) {
  const auto read = Read(With("ready", "draining"));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->content.state, endpoint_state::kLeaving);
}

TEST_F(a_heartbeat, OfAnotherWriterNamesNoEndpoint) {
  EXPECT_FALSE(Read(With("\"ready\"", "\"sleeping\"")));
  EXPECT_FALSE(Read(With("\"ready\"", "7")));
  EXPECT_FALSE(Read(With("129", "\"many\"")));
  EXPECT_FALSE(Read(With("10.1.0.8:8301", "10.1.0.8")));
  EXPECT_FALSE(Read(With("\"service\":\"s\",", "")));
  EXPECT_FALSE(Read("\x01\x02"));
  EXPECT_FALSE(Read(kBeat, "/instances/"));
  EXPECT_FALSE(Read(kBeat, "/other/i-7"));
}

// Each is a field as another writer may leave it.
TEST_F(a_heartbeat, OfAnotherWriterHasFieldsThatNameNoEndpoint) {
  for (const char* port : {"0", "65536", "18446744073709551616", "-1", "80.5",
                           "8e1", "", "0x50"}) {
    EXPECT_FALSE(Read(With(":8301", std::string(":") + port))) << port;
  }
  for (const std::string& number :
       {std::string("1e999"), std::string("1e99999999999"),
        std::string("18446744073709551616"), std::string("-1"),
        std::string("0.5"), std::string(400, '9'), std::string("null"),
        std::string("\"7\""), std::string("[7]"), std::string("true")}) {
    EXPECT_FALSE(Read(With("129", number))) << "slots " << number;
    EXPECT_FALSE(Read(With(":4,", ":" + number + ","))) << "seq " << number;
    EXPECT_FALSE(Read(With("170000", number))) << "born " << number;
  }
}

// The next heartbeat would be older than it.
TEST_F(a_heartbeat, WithASequenceThatNoneCanFollowNamesNoEndpoint) {
  EXPECT_FALSE(Read(With(":4,", ":18446744073709551615,")));
  EXPECT_FALSE(Read(With(":4,", ":1e18,")));
}

TEST_F(a_heartbeat, ThatCannotBeReadNamesNoEndpoint) {
  const std::string nested(10'000, '[');
  EXPECT_FALSE(Read(""));
  EXPECT_FALSE(Read(nested));
  EXPECT_FALSE(Read(With("\"z\"", nested + std::string(10'000, ']'))));
  EXPECT_FALSE(Read(With("\"z\"", "\"\xff\xfe\"")));
  EXPECT_FALSE(Read(With("\"z\"", std::string("\"\0\"", 3))));
  EXPECT_FALSE(Read(With("\"s\"", "\"s\\u0000\"")));
  EXPECT_FALSE(Read(With("\"s\"", "\"s\\r\\nX-Not-Executed: 1\"")));
  EXPECT_FALSE(Read(With("\"s\"", '"' + std::string(1'000'000, 's') + '"')));
}

class a_farewell : public testing::Test {};

// It would end the endpoint that is there.
TEST_F(a_farewell, OfAnotherWriterEndsNothing) {
  for (const char* body :
       {R"({"born":"then"})", R"({"born":-1})", R"({"born":1e999})",
        R"({"seq":0.5})", "[]", "nonsense", "\xff"}) {
    EXPECT_FALSE(
        ReadEndpointReport(Report(http::verb::delete_, "/instances/i-7", body)))
        << body;
  }
}

TEST_F(a_farewell, NamesTheEndpointAndItsRunIfItSaysSo) {
  const auto with_run = ReadEndpointReport(
      Report(http::verb::delete_, "/instances/i-7", R"({"born":170000})"));
  ASSERT_TRUE(with_run);
  EXPECT_EQ(with_run->content.state, endpoint_state::kGone);
  EXPECT_EQ(with_run->content.run, incarnation(170000));
  const auto without =
      ReadEndpointReport(Report(http::verb::delete_, "/instances/i-7", ""));
  ASSERT_TRUE(without);
  EXPECT_EQ(without->content.name, endpoint_name("i-7"));
}

}  // namespace
}  // namespace auburnfold::platform
