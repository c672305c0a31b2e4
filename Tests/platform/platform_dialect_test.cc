#include "platform/platform_dialect.h"

#include <gtest/gtest.h>

#include <chrono>

namespace auburnfold::platform {
namespace {

using namespace std::chrono_literals;

class the_dialect : public testing::Test {
 protected:
  platform_dialect dialect_{service_name("own")};
};

class a_callers_request : public the_dialect {};

TEST_F(a_callers_request, NamesItsIdItsDeadlineAndItsTarget) {
  http_request request(http::verb::get, "/a/b?c", kHttp11);
  request.set(http::field::host, "h.example");
  request.set("X-Request-Id", "id-1");
  request.set("X-Deadline-Ms", "600");
  const auto read = dialect_.ReadCallerRequest(request);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->metadata.own_id, request_id("id-1"));
  EXPECT_EQ(read->metadata.time_left, 600ms);
  EXPECT_EQ(read->target->host, "h.example");
  EXPECT_EQ(read->target->path, "/a/b?c");
}

TEST_F(a_callers_request, IsSentOnWithItsOriginWhateverItSaid) {
  http::fields headers;
  headers.set("X-Caller-Service", "forged");
  dialect_.AddOriginHeaders(headers);
  EXPECT_EQ(headers["X-Caller-Service"], "own");
}

TEST_F(a_callers_request, ReachesTheEndpointWithLessTimeAndItsName) {
  http::fields headers;
  headers.set("X-Deadline-Ms", "5000");
  headers.set("X-Expect-Instance", "forged");
  const request_metadata metadata;
  dialect_.AddEndpointHeaders(headers,
                              {metadata, 1999999us, endpoint_name(), ""});
  EXPECT_EQ(headers["X-Deadline-Ms"], "1999");
  EXPECT_EQ(headers["X-Expect-Instance"], "");
  const endpoint_name endpoint("i-7");
  dialect_.AddEndpointHeaders(headers, {metadata, 2s, endpoint, ""});
  EXPECT_EQ(headers["X-Expect-Instance"], "i-7");
}

class an_endpoints_answer : public the_dialect {
 protected:
  outcome Read(unsigned status, const char* header = nullptr) {
    http_response response;
    response.result(status);
    if (header != nullptr) {
      response.set(header, "1");
    }
    return dialect_.ReadEndpointOutcome(response);
  }
};

TEST_F(an_endpoints_answer, IsWholeWithItsSignature) {
  EXPECT_TRUE(Read(200, "X-Response-Signature").is_complete());
}

TEST_F(an_endpoints_answer, IsNoneWithoutItsSignature) {
  const outcome read = Read(200);
  EXPECT_EQ(read.error, error_kind::kAnswerTruncated);
  EXPECT_EQ(read.execution, execution_state::kUnknown);
}

TEST_F(an_endpoints_answer, SaysThatItDidNotRunOnlyInSoManyWords) {
  EXPECT_EQ(Read(503, "X-Not-Executed").execution,
            execution_state::kNotExecuted);
  EXPECT_EQ(Read(503, "X-Not-Executed").error, error_kind::kEndpointBusy);
  EXPECT_EQ(Read(421).execution, execution_state::kNotExecuted);
  EXPECT_TRUE(Read(503).is_complete());
}

TEST_F(an_endpoints_answer, IsAFailureIfTheEndpointFailed) {
  EXPECT_TRUE(Read(500).is_failure);
  EXPECT_FALSE(Read(404).is_failure);
}

class an_error : public the_dialect {
 protected:
  unsigned StatusOf(error_kind kind, execution_state execution) const {
    return dialect_.MakeError({.kind = kind, .execution = execution})
        .result_int();
  }
};

// Some statuses promise that the request has not run.
TEST_F(an_error, MakesNoPromiseUnlessItIsCertain) {
  EXPECT_EQ(StatusOf(error_kind::kOverloaded, execution_state::kNotExecuted),
            503U);
  EXPECT_EQ(StatusOf(error_kind::kOverloaded, execution_state::kUnknown), 502U);
  EXPECT_EQ(
      StatusOf(error_kind::kEndpointUnreachable, execution_state::kNotExecuted),
      503U);
  EXPECT_EQ(StatusOf(error_kind::kAnswerLost, execution_state::kUnknown), 502U);
  EXPECT_EQ(StatusOf(error_kind::kAnswerTimeout, execution_state::kUnknown),
            504U);
  EXPECT_EQ(StatusOf(error_kind::kUnknownRoute, execution_state::kNotExecuted),
            404U);
  EXPECT_EQ(StatusOf(error_kind::kNoRoutes, execution_state::kNotExecuted),
            503U);
}

TEST_F(an_error, SaysWhenToComeBackInFractionsOfASecond) {
  const http_response made = dialect_.MakeError(
      {.kind = error_kind::kOverloaded, .retry_after = 93798us});
  EXPECT_EQ(made["Retry-After"], "0.094");
}

TEST_F(an_endpoints_answer, TellWhichEndpointIsReady) {
  http_response response{http::status::ok, 11};
  EXPECT_FALSE(dialect_.ReadEndpointState(response));
  response.set("X-Instance-Id", "i-7");
  const auto report = dialect_.ReadEndpointState(response);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->name, endpoint_name("i-7"));
  EXPECT_EQ(report->state, endpoint_state::kReady);
  EXPECT_TRUE(report->is_probe_result);
  response.result(http::status::service_unavailable);
  EXPECT_FALSE(dialect_.ReadEndpointState(response));
}

class a_deregistration : public the_dialect {};

TEST_F(a_deregistration, IsAboutTheServiceOfItsNode) {
  const http_request request{http::verb::delete_, "/instances/i-7", kHttp11};
  const auto report = dialect_.ReadReport(request);
  ASSERT_TRUE(report);
  EXPECT_EQ(report->content.state, endpoint_state::kGone);
  EXPECT_EQ(report->content.service, service_name("own"));
  EXPECT_FALSE(report->content.is_probe_result);
}

}  // namespace
}  // namespace auburnfold::platform
