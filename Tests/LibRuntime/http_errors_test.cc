#include <gtest/gtest.h>

#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

std::string Errors(const std::string& kind) {
  return "auburnfold_errors_total{kind=\"" + kind + "\"}";
}

class a_node_with_an_endpoint : public testing::Test {
 protected:
  a_node_with_an_endpoint() { node_.Announce("listings", endpoint_.port()); }

  // Refused, counted, and nothing reached the endpoint.
  void ExpectRefused(const std::string& bytes,
                     unsigned status,
                     const std::string& kind) {
    const double counted = node_.Metric(Errors(kind));
    const read_answer answer = raw_client::Exchange(node_.call_port(), bytes);
    EXPECT_EQ(answer.status, status) << bytes.substr(0, 200);
    EXPECT_EQ(answer.Header("Auburnfold-Result"), kind);
    EXPECT_EQ(answer.Header("Auburnfold-Ran"), "not-run");
    EXPECT_NE(answer.body.find("\"error\":\"" + kind + "\""),
              std::string::npos);
    EXPECT_EQ(node_.Metric(Errors(kind)), counted + 1);
    EXPECT_EQ(node_.Metric("auburnfold_attempts_total"), 0);
  }

  scripted_server endpoint_{AnswersWith("whole")};
  running_node node_;
};

class a_request_that_is_no_http : public a_node_with_an_endpoint {};

TEST_F(a_request_that_is_no_http, IsMalformed) {
  ExpectRefused("what is this?\r\n\r\n", 400, "malformed-request");
  ExpectRefused("POST / HTTP/1.1\r\nno colon\r\n\r\n", 400,
                "malformed-request");
  ExpectRefused("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400,
                "malformed-request");
}

TEST_F(a_request_that_is_no_http, HasItsConnectionClosedAfterTheAnswer) {
  raw_client client(node_.call_port());
  client.Write("what is this?\r\n\r\n");
  EXPECT_EQ(client.Read()->Header("Connection"), "close");
  EXPECT_TRUE(client.ReadsEnd());
}

class a_request_that_is_too_large : public a_node_with_an_endpoint {};

TEST_F(a_request_that_is_too_large, IsRefusedByItsLengthBeforeItsBodyCame) {
  ExpectRefused(
      "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1048577\r\n\r\n", 413,
      "request-too-large");
}

TEST_F(a_request_that_is_too_large, IsRefusedForItsHeaders) {
  ExpectRefused(
      CallText("listings",
               "X-Long: " + std::string(std::size_t{16} * 1024, 'x') + "\r\n"),
      431, "header-too-large");
}

TEST_F(a_request_that_is_too_large, IsRefusedWhenItsChunksAddUp) {
  const std::string half(std::size_t{512} * 1024, 'x');
  const std::string chunk = "80000\r\n" + half + "\r\n";
  ExpectRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    chunk + chunk + "1\r\nx\r\n0\r\n\r\n",
                413, "request-too-large");
}

class a_trace_request : public a_node_with_an_endpoint {};

// No next hop can be sent it.
TEST_F(a_trace_request, WithABodyIsMalformedAndTheNextCallIsServed) {
  ExpectRefused(
      "TRACE / HTTP/1.1\r\nHost: test\r\nAuburnfold-Service: listings\r\n"
      "Auburnfold-Class: lookup\r\nAuburnfold-Timeout-Ms: 1000\r\n"
      "Content-Length: 4\r\n\r\nbody",
      400, "malformed-request");
  EXPECT_EQ(
      raw_client::Exchange(node_.call_port(), CallText("listings")).status,
      200U);
}

class a_call_with_wrong_headers : public a_node_with_an_endpoint {};

TEST_F(a_call_with_wrong_headers, IsRefusedWithoutServiceOrClass) {
  ExpectRefused(
      "GET / HTTP/1.1\r\nAuburnfold-Class: a\r\n"
      "Auburnfold-Timeout-Ms: 1\r\n\r\n",
      400, "malformed-request");
  ExpectRefused(
      "GET / HTTP/1.1\r\nAuburnfold-Service: a\r\n"
      "Auburnfold-Timeout-Ms: 1\r\n\r\n",
      400, "malformed-request");
  ExpectRefused(CallText("no/name"), 400, "malformed-request");
}

TEST_F(a_call_with_wrong_headers, IsRefusedWithoutADeadline) {
  ExpectRefused(
      "GET / HTTP/1.1\r\nAuburnfold-Service: a\r\n"
      "Auburnfold-Class: a\r\n\r\n",
      400, "deadline-missing");
}

TEST_F(a_call_with_wrong_headers, IsRefusedForADeadlineOutOfRange) {
  ExpectRefused(CallText("listings", "Auburnfold-Timeout-Ms: 0\r\n"), 504,
                "deadline-expired");
  ExpectRefused(CallText("listings", "Auburnfold-Timeout-Ms: 600001\r\n"), 400,
                "malformed-request");
  ExpectRefused(CallText("listings", "Auburnfold-Timeout-Ms: -5\r\n"), 400,
                "malformed-request");
}

TEST_F(a_call_with_wrong_headers, IsRefusedForAnAttemptThatIsNoCount) {
  ExpectRefused(CallText("listings", "Auburnfold-Attempt: 0\r\n"), 400,
                "malformed-request");
}

TEST_F(a_call_with_wrong_headers, IsRefusedForAnUnknownService) {
  ExpectRefused(CallText("nobody"), 404, "unknown-service");
}

class a_forwarded_request : public a_node_with_an_endpoint {};

TEST_F(a_forwarded_request, WithoutItsSenderIsMalformed) {
  const read_answer answer =
      raw_client::Exchange(node_.peer_port(), CallText("listings"));
  EXPECT_EQ(answer.status, 400U);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "malformed-request");
}

class an_endpoints_report : public a_node_with_an_endpoint {
 protected:
  unsigned StatusOf(const std::string& report) {
    return raw_client::Exchange(
               node_.call_port(),
               "PUT /auburnfold/v1/endpoint HTTP/1.1\r\nContent-Length: " +
                   std::to_string(report.size()) + "\r\n\r\n" + report)
        .status;
  }
};

TEST_F(an_endpoints_report, IsRefusedIfAKeyIsMissingOrOutOfRange) {
  for (const char* report :
       {"", "[]", R"({"port":1,"run":1,"state":"ready"})",
        R"({"service":"a","port":0,"run":1,"state":"ready"})",
        R"({"service":"a","port":70000,"run":1,"state":"ready"})",
        R"({"service":"a","port":1,"run":-1,"state":"ready"})",
        R"({"service":"a","port":1,"run":1,"state":"tired"})",
        R"({"service":"a","port":1,"run":1,"state":"ready","load":-1})",
        R"({"service":"a","port":1,"run":1,"state":"ready","healthy":1})"}) {
    EXPECT_EQ(StatusOf(report), 400U) << report;
  }
}

TEST_F(an_endpoints_report, IsTakenWithAllItsKeys) {
  EXPECT_EQ(StatusOf(R"({"service":"a","port":1,"run":1,"state":"leaving",)"
                     R"("load":0.5,"healthy":false,"connection_limit":9})"),
            200U);
}

}  // namespace
}  // namespace auburnfold::testing_support
