#include "platform/platform_dialect.h"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

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

TEST_F(a_callers_request, IsIdentifiedByHostAndCaller) {
  http_request request(http::verb::get, "/a/b", 11);
  request.set(http::field::host, "h.example");
  request.set("X-Caller-Service", "own");
  const std::string identity = dialect_.IdentityOf(request, {});
  request.set("X-Request-Id", "id-2");
  EXPECT_EQ(dialect_.IdentityOf(request, {}), identity);
  request.set("X-Caller-Service", "other");
  EXPECT_NE(dialect_.IdentityOf(request, {}), identity);
  request.set("X-Caller-Service", "own");
  request.set(http::field::host, "i.example");
  EXPECT_NE(dialect_.IdentityOf(request, {}), identity);
}

class an_api_key : public the_dialect {
 protected:
  std::string Read(std::initializer_list<std::string_view> authorizations) {
    http_request request(http::verb::get, "/a/b", kHttp11);
    request.set("X-Request-Id", "id-1");
    for (const std::string_view authorization : authorizations) {
      request.insert(http::field::authorization, authorization);
    }
    const auto read = dialect_.ReadCallerRequest(request);
    return read && read->key ? read->key->value() : "";
  }
};

TEST_F(an_api_key, FollowsItsSchemeHoweverThatIsSpelled) {
  EXPECT_EQ(Read({"Bearer k1"}), "k1");
  EXPECT_EQ(Read({"bearer k1"}), "k1");
  EXPECT_EQ(Read({"BEARER   k1"}), "k1");
}

TEST_F(an_api_key, IsNotReadFromAnythingElse) {
  EXPECT_EQ(Read({}), "");
  EXPECT_EQ(Read({""}), "");
  EXPECT_EQ(Read({"Bearer"}), "");
  EXPECT_EQ(Read({"Bearer "}), "");
  EXPECT_EQ(Read({"Bearerk1"}), "");
  EXPECT_EQ(Read({"Basic k1"}), "");
  EXPECT_EQ(Read({"Bearer k1 k2"}), "");
  EXPECT_EQ(Read({"k1"}), "");
}

TEST_F(an_api_key, IsNoneOfTwo) {
  EXPECT_EQ(Read({"Bearer k1", "Bearer k1"}), "");
  EXPECT_EQ(Read({"Bearer k1", "Basic k2"}), "");
}

TEST_F(an_api_key, MayBeAsLongAsAHeader) {
  const std::string key(8000, 'k');
  EXPECT_EQ(Read({"Bearer " + key}), key);
}

TEST_F(an_api_key, StaysAtTheNodeThatReadIt) {
  http::fields headers;
  headers.insert("Authorization", "Bearer k1");
  headers.insert("authorization", "Bearer k2");
  headers.insert("X-Tenant", "forged");
  headers.insert("x-tenant", "forged too");
  dialect_.AddOriginHeaders(headers);
  EXPECT_EQ(headers.count("Authorization"), 0U);
  EXPECT_EQ(headers.count("X-Tenant"), 0U);
}

TEST_F(an_api_key, NamesItsTenantToTheEndpoint) {
  request_metadata metadata;
  http::fields headers;
  headers.set("X-Tenant", "forged");
  dialect_.AddEndpointHeaders(headers, {metadata, 2s, endpoint_name(), ""});
  EXPECT_EQ(headers.count("X-Tenant"), 0U);
  metadata.tenant = tenant_name("t1");
  dialect_.AddEndpointHeaders(headers, {metadata, 2s, endpoint_name(), ""});
  EXPECT_EQ(headers["X-Tenant"], "t1");
}

TEST_F(a_callers_request, CannotNameAParent) {
  http_request request(http::verb::get, "/a/b", kHttp11);
  request.set("X-Request-Id", "id-1");
  request.set("Auburnfold-Parent", "1.1.1");
  EXPECT_EQ(dialect_.ReadCallerRequest(request)->parent, "");
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
  EXPECT_TRUE(Read(700).is_failure);
  EXPECT_FALSE(Read(404).is_failure);
}

class what_an_endpoint_says_of_itself : public the_dialect {
 protected:
  static http_response Response(
      std::initializer_list<std::string_view> rate_limits) {
    http_response response{http::status::ok, kHttp11};
    response.set("X-Response-Signature", "1");
    for (const std::string_view rate_limit : rate_limits) {
      response.insert("Server-Limit", rate_limit);
    }
    return response;
  }

  endpoint_signals Read(const http_response& response) {
    return dialect_.ReadEndpointOutcome(response).signals.value();
  }
};

TEST_F(what_an_endpoint_says_of_itself, IsNothingInMostAnswers) {
  const endpoint_signals read = Read(Response({}));
  EXPECT_FALSE(read.rate_limit);
  EXPECT_FALSE(read.has_unreadable_rate_limit);
  EXPECT_FALSE(read.is_leaving);
}

TEST_F(what_an_endpoint_says_of_itself, IsTheRateThatItAccepts) {
  EXPECT_EQ(Read(Response({"29.9"})).rate_limit, request_rate(29.9));
  EXPECT_EQ(Read(Response({"0.4"})).rate_limit, request_rate(0.4));
  EXPECT_EQ(Read(Response({"0"})).rate_limit, request_rate(0));
  EXPECT_EQ(Read(Response({"1000000000"})).rate_limit, request_rate(1e9));
}

TEST_F(what_an_endpoint_says_of_itself, IsUnreadableUnlessItIsOneNumber) {
  const auto is_unreadable =
      [this](std::initializer_list<std::string_view> rate_limits) {
        const endpoint_signals read = Read(Response(rate_limits));
        return !read.rate_limit && read.has_unreadable_rate_limit;
      };
  for (const char* text : {"", "-1", "-0", "nan", "inf", "1e9", "12 a second",
                           "0x10", "1,5", "+3"}) {
    EXPECT_TRUE(is_unreadable({text})) << text;
  }
  EXPECT_TRUE(is_unreadable({"29.9", "30"}));
}

TEST_F(what_an_endpoint_says_of_itself, IsReadFromFailuresAndRefusals) {
  http_response failure = Response({"5"});
  failure.result(500);
  EXPECT_EQ(Read(failure).rate_limit, request_rate(5));
  http_response refusal = Response({"5"});
  refusal.result(503);
  refusal.set("X-Not-Executed", "1");
  EXPECT_EQ(Read(refusal).rate_limit, request_rate(5));
}

TEST_F(what_an_endpoint_says_of_itself, IsNotReadFromAnotherEndpointsAnswer) {
  http_response other = Response({"5"});
  other.result(421);
  EXPECT_FALSE(dialect_.ReadEndpointOutcome(other).signals);
  http_response unsigned_response = Response({"5"});
  unsigned_response.erase("X-Response-Signature");
  EXPECT_FALSE(dialect_.ReadEndpointOutcome(unsigned_response).signals);
}

TEST_F(what_an_endpoint_says_of_itself, IsThatItLeaves) {
  http_response response = Response({});
  response.set("Server-Leaving", "1");
  EXPECT_TRUE(Read(response).is_leaving);
  response.set("Server-Leaving", "0");
  EXPECT_FALSE(Read(response).is_leaving);
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

TEST_F(an_endpoints_answer, TellsAtAProbeThatTheEndpointLeaves) {
  for (const unsigned status : {200U, 503U}) {
    http_response response;
    response.result(status);
    response.set("X-Instance-Id", "i-7");
    response.set("Server-Leaving", "1");
    response.set("Server-Limit", "5");
    const auto report = dialect_.ReadEndpointState(response);
    ASSERT_TRUE(report);
    EXPECT_EQ(report->state, endpoint_state::kGone);
    EXPECT_EQ(report->signals->rate_limit, request_rate(5));
  }
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

class a_report_of_another_writer : public the_dialect {
 protected:
  http_response AnswerTo(http::verb method,
                         const std::string& target,
                         const std::string& body) {
    http_request request{method, target, kHttp11};
    request.body() = body;
    return leaf::try_handle_all(
        [&]() -> leaf::result<http_response> {
          BOOST_LEAF_CHECK(dialect_.ReadReport(request));
          return http_response{http::status::ok, kHttp11};
        },
        [&](const request_error& error) {
          return dialect_.MakeError(
              {.kind = error.kind, .reason = error.reason});
        },
        [] { return http_response{}; });
  }
};

// Its sender had nothing to go by.
TEST_F(a_report_of_another_writer, IsAnsweredWithWhatIsWrong) {
  const http_response answer =
      AnswerTo(http::verb::put, "/instances/i-7",
               R"({"service":"own","address":"10.1.0.8:8301","slots":1e999,)"
               R"("state":"ready","seq":4})");
  EXPECT_EQ(answer.result(), http::status::bad_request);
  EXPECT_EQ(answer.body(),
            "{\"error\":\"malformed-request\",\"ran\":\"not-run\","
            "\"reason\":\"slots must be a whole number below 2^32\"}\n");
  EXPECT_NE(AnswerTo(http::verb::put, "/instances/i-7", "[")
                .body()
                .find("the body must be a JSON object"),
            std::string::npos);
  EXPECT_NE(AnswerTo(http::verb::put, "/instances/i-7",
                     R"({"service":"another","address":"10.1.0.8:8301",)"
                     R"("slots":1,"state":"ready","seq":4})")
                .body()
                .find("service must be the one of this node's settings"),
            std::string::npos);
  EXPECT_NE(AnswerTo(http::verb::post, "/instances/i-7", "{}")
                .body()
                .find("the method must be PUT or DELETE"),
            std::string::npos);
}

}  // namespace
}  // namespace auburnfold::platform
