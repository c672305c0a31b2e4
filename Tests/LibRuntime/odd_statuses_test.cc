#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <tuple>

#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Requests/headers.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

/// Header lines that make a response one of another node.
constexpr const char* kComplete = "Auburnfold-Result: complete\r\n";

/// Answers with `bytes` and keeps the connection open.
scripted_server::script Answering(std::string bytes) {
  return [bytes = std::move(bytes)](scripted_connection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(bytes);
    }
  };
}

/// Of a call whose answer must not be waited for until the deadline.
constexpr const char* kShortDeadline = "Auburnfold-Timeout-Ms: 5000\r\n";

void ExpectUnusableAnswer(const read_answer& answer) {
  EXPECT_EQ(answer.status, 502U);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "answer-truncated");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
}

/// A status and what follows the header.
class a_response_that_is_none
    : public testing::TestWithParam<std::tuple<const char*, const char*>> {
 protected:
  static std::string Bytes(const std::string& headers) {
    return "HTTP/1.1 " + std::string(std::get<0>(GetParam())) + " Odd\r\n" +
           headers + std::get<1>(GetParam());
  }
};

// Guards against callers that wait for the rest of their deadline (and then get
// 504), or that get the bytes behind the header for an answer (MIXED).
TEST_P(a_response_that_is_none, OfAnEndpointEndsTheCallAtOnce) {
  scripted_server endpoint(Answering(Bytes({})));
  running_node node;
  node.Announce("listings", endpoint.port());
  ExpectUnusableAnswer(raw_client::Exchange(
      node.call_port(), CallText("listings", kShortDeadline)));
}

TEST_P(a_response_that_is_none, OfAnEndpointEndsTheCallThoughEndsMayBeOpen) {
  scripted_server endpoint(Answering(Bytes({})));
  running_node node(LoopbackSettings(),
                    any_wire_dialect(dialect_of_open_ends()));
  node.Announce("listings", endpoint.port());
  ExpectUnusableAnswer(raw_client::Exchange(
      node.call_port(), CallText("listings", kShortDeadline)));
}

TEST_P(a_response_that_is_none, OfAnEndpointEndsACallWithoutABody) {
  scripted_server endpoint(Answering(Bytes({})));
  running_node node;
  node.Announce("listings", endpoint.port());
  raw_client client(node.call_port());
  client.Write(CallText("listings", kShortDeadline).replace(0, 4, "HEAD"));
  const auto answer = client.Read(true);
  ASSERT_TRUE(answer);
  ExpectUnusableAnswer(*answer);
}

TEST_P(a_response_that_is_none, OfAnotherNodeEndsTheCallAtOnce) {
  scripted_server peer(Answering(Bytes(kComplete)));
  running_node node;
  node.AnnouncePeer("listings", peer.port());
  ExpectUnusableAnswer(raw_client::Exchange(
      node.call_port(), CallText("listings", kShortDeadline)));
}

// Guards against bytes behind such a response that answer the next call
// (MIXED).
TEST_P(a_response_that_is_none, BehindAnAnswerAnswersNoOtherCall) {
  scripted_server endpoint(Answering(AnswerText("whole") + Bytes({})));
  running_node node;
  node.Announce("listings", endpoint.port());
  raw_client client(node.call_port());
  for (int i = 0; i < 2; ++i) {
    client.Write(CallText("listings", kShortDeadline));
    const auto answer = client.Read();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, 200U);
    EXPECT_EQ(answer->body, "whole");
  }
}

INSTANTIATE_TEST_SUITE_P(
    ,
    a_response_that_is_none,
    testing::Combine(
        testing::Values("000", "001", "099", "101"),
        testing::Values("\r\n",
                        "Content-Length: 3\r\n\r\nodd",
                        "Content-Length: 38\r\n\r\nHTTP/1.1 200 "
                        "OK\r\nContent-Length: 0\r\n\r\n",
                        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));

class an_interim_response : public testing::TestWithParam<const char*> {};

// As above, for what follows a response that has no body.
TEST_P(an_interim_response, WithABodyEndsTheCallAtOnce) {
  scripted_server endpoint(Answering("HTTP/1.1 " + std::string(GetParam()) +
                                     " Odd\r\nContent-Length: 3\r\n\r\nodd"));
  running_node node;
  node.Announce("listings", endpoint.port());
  ExpectUnusableAnswer(raw_client::Exchange(
      node.call_port(), CallText("listings", kShortDeadline)));
}

TEST_P(an_interim_response, PrecedesTheAnswer) {
  scripted_server endpoint(Answering("HTTP/1.1 " + std::string(GetParam()) +
                                     " Odd\r\n\r\n" + AnswerText("whole")));
  running_node node;
  node.Announce("listings", endpoint.port());
  const read_answer answer =
      raw_client::Exchange(node.call_port(), CallText("listings"));
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "whole");
}

INSTANTIATE_TEST_SUITE_P(,
                         an_interim_response,
                         testing::Values("100", "102", "103", "150", "199"));

class a_status_beyond_those_of_http : public testing::TestWithParam<unsigned> {
};

TEST_P(a_status_beyond_those_of_http, IsPassedOnUnchanged) {
  scripted_server endpoint(Answering("HTTP/1.1 " + std::to_string(GetParam()) +
                                     " Odd\r\nContent-Length: 3\r\n\r\nodd"));
  running_node node;
  node.Announce("listings", endpoint.port());
  const read_answer answer =
      raw_client::Exchange(node.call_port(), CallText("listings"));
  EXPECT_EQ(answer.status, GetParam());
  EXPECT_EQ(answer.body, "odd");
}

TEST_P(a_status_beyond_those_of_http, CountsAsAFailureOfTheEndpoint) {
  http_response response(http::status::ok, kHttp11);
  response.result(GetParam());
  MarkComplete(response, request_id("r-1"));
  EXPECT_TRUE(ReadPeerOutcome(response).is_failure);
}

INSTANTIATE_TEST_SUITE_P(,
                         a_status_beyond_those_of_http,
                         testing::Values(600U, 700U, 999U));

}  // namespace
}  // namespace auburnfold::testing_support
