#include "LibClient/client.h"

#include <gtest/gtest.h>

#include <boost/leaf/handle_errors.hpp>

#include "fake_node.h"

namespace auburnfold::testing_support {
namespace {

using namespace std::chrono_literals;

const std::string kWhole = NodeAnswer(
    200,
    "Auburnfold-Result: complete\r\nAuburnfold-Ran: ran\r\nX-Own: 1\r\n",
    "lots");
const std::string kOverloaded =
    NodeAnswer(503,
               "Auburnfold-Result: overloaded\r\nAuburnfold-Ran: not-run\r\n"
               "Retry-After: 1\r\nAuburnfold-Retry-After-Ms: 250\r\n");
const std::string kUnknown =
    NodeAnswer(502,
               "Auburnfold-Result: answer-lost\r\nAuburnfold-Ran: unknown\r\n");
const std::string kUnknownService = NodeAnswer(
    404,
    "Auburnfold-Result: unknown-service\r\nAuburnfold-Ran: not-run\r\n");

class a_client : public testing::Test {
 protected:
  void Use(const std::vector<const fake_node*>& nodes) {
    client_options options;
    for (const fake_node* node : nodes) {
      options.nodes.push_back({"127.0.0.1", node->port()});
    }
    options.wait = [this](std::chrono::milliseconds length) {
      waits_.push_back(length);
    };
    client_ = std::make_unique<client>(std::move(options));
  }

  call_result CallOnce(bool is_idempotent = false) {
    client_call call;
    call.service = service_name("listings");
    call.request_class = class_name("lookup");
    call.target = "/lots";
    call.body = "which";
    call.timeout = 30s;
    call.is_idempotent = is_idempotent;
    call.key = key_;
    return client_->Call(call);
  }

  static bool Has(const std::string& request, const std::string& line) {
    return request.find(line + "\r\n") != std::string::npos;
  }

  std::unique_ptr<client> client_;
  std::optional<idempotency_key> key_;
  std::vector<std::chrono::milliseconds> waits_;
};

// Guards against a client that runs out of memory: chunk extensions and
// trailers without end were kept until the call timed out.
class an_answer_without_end : public a_client {};

TEST_F(an_answer_without_end, IsGivenUp) {
  const std::string long_text(200'000, 'x');
  const std::string head =
      "HTTP/1.1 200 OK\r\nAuburnfold-Result: complete\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  const fake_node node(
      {head + "4;" + long_text + "\r\nlots\r\n0\r\n\r\n",
       head + "4\r\nlots\r\n0\r\nX-Trailer: " + long_text + "\r\n\r\n"});
  Use({&node});
  for (int i = 0; i < 2; ++i) {
    const call_result answer = CallOnce();
    EXPECT_EQ(answer.error, error_kind::kAnswerTooLarge);
    EXPECT_EQ(answer.execution, execution_state::kUnknown);
  }
}

class a_whole_answer : public a_client {};

TEST_F(a_whole_answer, IsGivenWithItsHeadersAfterOneSend) {
  const fake_node node({kWhole});
  Use({&node});
  const call_result answer = CallOnce();
  EXPECT_TRUE(answer.is_complete());
  EXPECT_EQ(answer.execution, execution_state::kExecuted);
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "lots");
  EXPECT_EQ(answer.attempts, 1);
  const std::string& request = node.requests().at(0);
  EXPECT_TRUE(request.starts_with("POST /lots HTTP/1.1\r\n"));
  EXPECT_TRUE(Has(request, "Auburnfold-Service: listings"));
  EXPECT_TRUE(Has(request, "Auburnfold-Class: lookup"));
  EXPECT_TRUE(Has(request, "Auburnfold-Tenant: default"));
  EXPECT_EQ(request.find("Auburnfold-Attempt"), std::string::npos);
}

TEST_F(a_whole_answer, LeavesItsConnectionForTheNextCall) {
  const fake_node node({kWhole, kWhole});
  Use({&node});
  CallOnce();
  EXPECT_TRUE(CallOnce().is_complete());
  EXPECT_EQ(node.connections(), 1);
}

class a_refusal : public a_client {};

TEST_F(a_refusal, IsFollowedByAResendThroughAnotherNodeAfterTheNamedTime) {
  const fake_node first({kOverloaded});
  const fake_node second({kWhole});
  Use({&first, &second});
  const call_result answer = CallOnce();
  EXPECT_TRUE(answer.is_complete());
  EXPECT_EQ(answer.attempts, 2);
  EXPECT_EQ(waits_, std::vector{250ms});
  EXPECT_TRUE(Has(second.requests().at(0), "Auburnfold-Attempt: 2"));
}

TEST_F(a_refusal, IsFollowedByNoMoreSendsThanTheOptionsAllow) {
  const fake_node node({kOverloaded, kOverloaded, kOverloaded, kWhole});
  Use({&node});
  const call_result answer = CallOnce();
  EXPECT_EQ(answer.error, error_kind::kOverloaded);
  EXPECT_EQ(answer.execution, execution_state::kNotExecuted);
  EXPECT_EQ(answer.retry_after, 250ms);
  EXPECT_EQ(answer.attempts, 3);
  EXPECT_EQ(node.requests().size(), 3U);
}

TEST_F(a_refusal, IsFinalIfNoTimeToComeBackIsNamed) {
  const fake_node node({kUnknownService, kWhole});
  Use({&node});
  const call_result answer = CallOnce(true);
  EXPECT_EQ(answer.error, error_kind::kUnknownService);
  EXPECT_EQ(answer.attempts, 1);
  EXPECT_TRUE(waits_.empty());
}

TEST_F(a_refusal, IsFinalIfTheNamedTimeIsAfterTheDeadline) {
  const fake_node node({NodeAnswer(503,
                                   "Auburnfold-Result: overloaded\r\n"
                                   "Auburnfold-Ran: not-run\r\n"
                                   "Auburnfold-Retry-After-Ms: 30000\r\n"),
                        kWhole});
  Use({&node});
  EXPECT_EQ(CallOnce(true).attempts, 1);
  EXPECT_TRUE(waits_.empty());
}

class an_unknown_outcome : public a_client {};

TEST_F(an_unknown_outcome, IsFinalForWorkThatIsNotIdempotentAndHasNoKey) {
  for (const std::string& lost : {kUnknown, std::string()}) {
    const fake_node node({lost, kWhole});
    Use({&node});
    const call_result answer = CallOnce();
    EXPECT_EQ(answer.error, error_kind::kAnswerLost);
    EXPECT_EQ(answer.execution, execution_state::kUnknown);
    EXPECT_EQ(node.requests().size(), 1U);
  }
}

TEST_F(an_unknown_outcome, IsFollowedByAResendIfTheWorkIsIdempotent) {
  const fake_node node({"", kWhole});
  Use({&node});
  EXPECT_TRUE(CallOnce(true).is_complete());
}

TEST_F(an_unknown_outcome, IsFollowedByAResendWithTheSameKeyAndRequestId) {
  const fake_node node({kUnknown, kWhole});
  Use({&node});
  key_ = idempotency_key("key-1");
  EXPECT_TRUE(CallOnce().is_complete());
  const std::string& first = node.requests().at(0);
  const std::string& second = node.requests().at(1);
  EXPECT_TRUE(Has(first, "Idempotency-Key: key-1"));
  EXPECT_TRUE(Has(second, "Idempotency-Key: key-1"));
  const std::size_t id = first.find("Auburnfold-Request-Id: ");
  EXPECT_TRUE(Has(second, first.substr(id, first.find("\r\n", id) - id)));
}

TEST_F(an_unknown_outcome, StaysUnknownWhenALaterSendDidNotRun) {
  const fake_node node({kUnknown, kUnknownService});
  Use({&node});
  key_ = idempotency_key("key-1");
  const call_result answer = CallOnce();
  EXPECT_EQ(answer.error, error_kind::kUnknownService);
  EXPECT_EQ(answer.execution, execution_state::kUnknown);
}

TEST_F(an_unknown_outcome, IsWhatATruncatedAnswerMeans) {
  const std::string headers =
      "HTTP/1.1 200 OK\r\nAuburnfold-Result: complete\r\n"
      "Auburnfold-Ran: ran\r\nConnection: close\r\n";
  for (const char* rest : {"\r\nno length", "Content-Length: 9\r\n\r\npart"}) {
    const fake_node node({headers + rest});
    Use({&node});
    const call_result answer = CallOnce();
    EXPECT_EQ(answer.error, error_kind::kAnswerTruncated);
    EXPECT_EQ(answer.execution, execution_state::kUnknown);
  }
}

class a_node_that_cannot_be_reached : public a_client {};

TEST_F(a_node_that_cannot_be_reached, IsPassedOverAtOnceAndNothingRan) {
  auto gone = std::make_unique<fake_node>(std::vector<std::string>());
  const fake_node node({kWhole});
  Use({gone.get(), &node});
  gone.reset();
  EXPECT_TRUE(CallOnce().is_complete());
  EXPECT_TRUE(waits_.empty());
}

class a_key : public a_client {
 protected:
  std::string Obtain() {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::string> {
          BOOST_LEAF_AUTO(
              key, client_->RequestIdempotencyKey(service_name("bookings"),
                                                  class_name("book"), 30s));
          return key.value();
        },
        [](const call_result& answer) {
          return "error " + std::to_string(answer.status);
        },
        [] { return std::string("no error object"); });
  }
};

TEST_F(a_key, IsObtainedFromTheHomeOfTheWork) {
  const fake_node node({NodeAnswer(201,
                                   "Auburnfold-Result: complete\r\n"
                                   "Auburnfold-Ran: ran\r\n",
                                   "key-7")});
  Use({&node});
  EXPECT_EQ(Obtain(), "key-7");
  EXPECT_TRUE(node.requests().at(0).starts_with(
      "POST /auburnfold/v1/keys HTTP/1.1\r\n"));
}

TEST_F(a_key, IsNotObtainedIfItIsRefused) {
  const fake_node node({kUnknownService});
  Use({&node});
  EXPECT_EQ(Obtain(), "error 404");
}

}  // namespace
}  // namespace auburnfold::testing_support
