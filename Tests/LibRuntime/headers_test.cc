#include "LibRuntime/Requests/headers.h"

#include <gtest/gtest.h>

#include "LibRuntime/Requests/hexadecimal.h"
#include "LibRuntime/Requests/parent_token.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

request_metadata Facts() {
  request_metadata metadata;
  metadata.root = request_id("root-1");
  metadata.service = service_name("faults");
  metadata.request_class = class_name("alert");
  metadata.tenant = tenant_name("cardiff");
  metadata.time_left = 250ms;
  metadata.allowance = 2;
  metadata.client_attempt = 3;
  metadata.depth = 17;
  metadata.priority = std::uint8_t{7};
  metadata.purpose = request_purpose::kIssueKey;
  return metadata;
}

TEST(TheHeadersOfAForwardedRequest, GiveItsFactsBack) {
  http::fields headers;
  WriteForwardedHeaders(headers, Facts(),
                        {node_id(0xab), incarnation(7), attempt_id(5)},
                        incarnation(9));
  headers.set(http::field::host, "test");
  headers.set("Idempotency-Key", "key-1");
  const auto read = ReadForwardedHeaders(headers);
  ASSERT_TRUE(read);
  const request_metadata& metadata = read->metadata;
  EXPECT_EQ(read->from, node_id(0xab));
  EXPECT_EQ(read->expected_run, incarnation(9));
  EXPECT_EQ(metadata.root, Facts().root);
  EXPECT_EQ(metadata.service, Facts().service);
  EXPECT_EQ(metadata.request_class, Facts().request_class);
  EXPECT_EQ(metadata.tenant, Facts().tenant);
  EXPECT_EQ(metadata.time_left, Facts().time_left);
  EXPECT_EQ(metadata.allowance, Facts().allowance);
  EXPECT_EQ(metadata.client_attempt, Facts().client_attempt);
  EXPECT_EQ(metadata.depth, Facts().depth);
  EXPECT_EQ(metadata.priority, Facts().priority);
  EXPECT_EQ(metadata.key, idempotency_key("key-1"));
  EXPECT_EQ(metadata.purpose, request_purpose::kIssueKey);
}

TEST(TheHeadersOfAForwardedRequest, TellWhatTheSenderHeardOfTheEndpoint) {
  for (const double rate : {0.0, 0.4, 29.9, 1e9}) {
    http::fields headers;
    request_metadata metadata = Facts();
    metadata.notice = endpoint_notice{.endpoint = endpoint_name("i-1"),
                                      .run = incarnation(5),
                                      .rate_limit = request_rate(rate),
                                      .is_leaving = true};
    WriteForwardedHeaders(headers, metadata,
                          {node_id(1), incarnation(7), attempt_id(5)},
                          incarnation(1));
    const auto read = ReadForwardedHeaders(headers);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->metadata.notice, metadata.notice);
  }
}

TEST(TheHeadersOfAForwardedRequest, AreNoneAboutAnEndpointWithoutNotice) {
  http::fields headers;
  WriteForwardedHeaders(headers, Facts(),
                        {node_id(1), incarnation(7), attempt_id(5)},
                        incarnation(1));
  EXPECT_FALSE(ReadForwardedHeaders(headers)->metadata.notice);
  EXPECT_EQ(headers.count("Auburnfold-Endpoint-Run"), 0U);
}

TEST(TheHeadersBetweenNodes, TellTheVersionOfTheRoutes) {
  http::fields headers;
  request_metadata metadata = Facts();
  WriteForwardedHeaders(headers, metadata,
                        {node_id(1), incarnation(7), attempt_id(5)},
                        incarnation(1));
  EXPECT_FALSE(ReadForwardedHeaders(headers)->metadata.routes);
  metadata.routes = route_version(12);
  WriteForwardedHeaders(headers, metadata,
                        {node_id(1), incarnation(7), attempt_id(5)},
                        incarnation(1));
  EXPECT_EQ(ReadForwardedHeaders(headers)->metadata.routes, route_version(12));
  http_response response;
  response.set("Auburnfold-Result", "complete");
  WriteAnswerMetadata(response, {.newer_routes = route_version(13)});
  EXPECT_EQ(ReadPeerOutcome(response).peer->newer_routes, route_version(13));
}

TEST(TheHeadersBetweenNodes, TellHowOldTheRoutesAreAtMost) {
  const auto carried = [](std::optional<duration> age) {
    http_response response;
    response.set("Auburnfold-Result", "complete");
    WriteAnswerMetadata(response, {.routes_confirmed_age = age});
    return ReadPeerOutcome(response).peer->routes_confirmed_age;
  };
  EXPECT_EQ(carried(std::nullopt), std::nullopt);
  EXPECT_EQ(carried(1200ms), 1200ms);
  EXPECT_EQ(carried(1us), 1ms);
  EXPECT_EQ(carried(-1500us), -1ms);
}

TEST(TheHeadersBetweenNodes, TellAnyTenantOrNone) {
  for (const char* name : {"", "t 1/\xc3\xa4"}) {
    http::fields headers;
    request_metadata metadata = Facts();
    metadata.tenant = tenant_name(name);
    WriteForwardedHeaders(headers, metadata,
                          {node_id(1), incarnation(7), attempt_id(5)},
                          incarnation(1));
    EXPECT_EQ(ReadForwardedHeaders(headers)->metadata.tenant, metadata.tenant);
  }
}

TEST(TheHeadersBetweenNodes, TellTheChecksumOfTheCrashes) {
  http::fields headers;
  request_metadata metadata = Facts();
  WriteForwardedHeaders(headers, metadata,
                        {node_id(1), incarnation(7), attempt_id(5)},
                        incarnation(1));
  EXPECT_EQ(headers.count("Auburnfold-Crashes"), 0U);
  EXPECT_EQ(ReadForwardedHeaders(headers)->metadata.crash_checksum, 0);
  metadata.crash_checksum = 0xabcdef;
  WriteForwardedHeaders(headers, metadata,
                        {node_id(1), incarnation(7), attempt_id(5)},
                        incarnation(1));
  EXPECT_EQ(ReadForwardedHeaders(headers)->metadata.crash_checksum, 0xabcdef);
  http_response response;
  response.set("Auburnfold-Result", "complete");
  WriteAnswerMetadata(response, {.crash_checksum = 0x123});
  EXPECT_EQ(ReadPeerOutcome(response).peer->crash_checksum, 0x123);
}

TEST(AnAnswerOfAPeer, TellsWhatTheEndpointSaysOfItself) {
  answer_metadata metadata;
  metadata.notice =
      endpoint_notice{.run = incarnation(5), .rate_limit = request_rate(29.9)};
  metadata.send_interval = 550ms;
  http_response response;
  response.set("Auburnfold-Result", "complete");
  WriteAnswerMetadata(response, metadata);
  EXPECT_EQ(ReadPeerOutcome(response).peer->notice, metadata.notice);
  EXPECT_EQ(ReadPeerOutcome(response).peer->send_interval, 550ms);
}

TEST(TheHeadersOfAForwardedRequest, NeverPromiseMoreTimeThanThereIs) {
  http::fields headers;
  request_metadata metadata = Facts();
  metadata.time_left = 2ms - 1ns;
  WriteForwardedHeaders(headers, metadata,
                        {node_id(1), incarnation(7), attempt_id(5)},
                        incarnation(1));
  EXPECT_EQ(headers["Auburnfold-Timeout-Ms"], "1");
}

TEST(AnAnswerOfAPeer, GivesItsFactsBack) {
  http_response response;
  const answer_metadata sent{.level = 5,
                             .allowance_left = 1,
                             .in_flight = 170,
                             .retry_after = 1500ms,
                             .is_cold = true,
                             .capacity = 33};
  WriteAnswerMetadata(response, sent);
  response.set("Auburnfold-Result", "overloaded");
  response.set("Auburnfold-Ran", "not-run");
  const outcome read = ReadPeerOutcome(response);
  EXPECT_EQ(read.error, error_kind::kOverloaded);
  EXPECT_EQ(read.execution, execution_state::kNotExecuted);
  ASSERT_TRUE(read.peer);
  EXPECT_EQ(read.peer->level, sent.level);
  EXPECT_EQ(read.peer->allowance_left, sent.allowance_left);
  EXPECT_EQ(read.peer->in_flight, sent.in_flight);
  EXPECT_EQ(read.peer->retry_after, sent.retry_after);
  EXPECT_EQ(read.peer->is_cold, sent.is_cold);
  EXPECT_EQ(read.peer->capacity, sent.capacity);
}

TEST(AnAnswerOfAPeer, IsUnknownIfItsRunStateIsMissingOrStrange) {
  http_response response;
  response.set("Auburnfold-Result", "overloaded");
  EXPECT_EQ(ReadPeerOutcome(response).execution, execution_state::kUnknown);
  response.set("Auburnfold-Ran", "perhaps");
  EXPECT_EQ(ReadPeerOutcome(response).execution, execution_state::kUnknown);
  response.set("Auburnfold-Result", "no-such-kind");
  EXPECT_EQ(ReadPeerOutcome(response).error, error_kind::kInternal);
}

TEST(AParentToken, IsReadOnlyAsItWasWritten) {
  const parent_token token{node_id(~0ULL), incarnation(2), work_id(3)};
  const std::string text = token.Format();
  const auto read = parent_token::Parse(text);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->node, token.node);
  EXPECT_EQ(read->run, token.run);
  EXPECT_EQ(read->work, token.work);
  EXPECT_FALSE(parent_token::Parse(text.substr(1)));
  EXPECT_FALSE(parent_token::Parse(text + "0"));
  EXPECT_FALSE(parent_token::Parse(std::string(text.size(), 'x')));
  EXPECT_FALSE(parent_token::Parse(""));
}

TEST(Numbers, AreReadOnlyWhole) {
  EXPECT_EQ(ParseDecimal("18446744073709551615"), ~0ULL);
  for (const char* text :
       {"", "18446744073709551616", "-1", "+1", " 1", "1 "}) {
    EXPECT_FALSE(ParseDecimal(text)) << text;
  }
  EXPECT_EQ(ParseHexadecimal("fF"), 255U);
  EXPECT_FALSE(ParseHexadecimal("0x1"));
  EXPECT_EQ(ToHexadecimal(0xab), "00000000000000ab");
}

}  // namespace
}  // namespace auburnfold
