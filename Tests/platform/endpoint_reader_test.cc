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
  static std::optional<endpoint_report> Read(
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

class a_farewell : public testing::Test {};

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
