#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// A node whose endpoint follows `script`, and one call through it.
class a_call_whose_endpoint : public testing::Test {
 protected:
  read_answer CallAgainst(scripted_server::script script) {
    endpoint_ = std::make_unique<scripted_server>(std::move(script));
    node_.Announce("listings", endpoint_->port());
    return raw_client::Exchange(node_.call_port(), CallText("listings"));
  }

  static void Expect(const read_answer& answer,
                     unsigned status,
                     const std::string& result,
                     const std::string& execution) {
    EXPECT_EQ(answer.status, status);
    EXPECT_EQ(answer.Header("Auburnfold-Result"), result);
    EXPECT_EQ(answer.Header("Auburnfold-Ran"), execution);
  }

  running_node node_;
  std::unique_ptr<scripted_server> endpoint_;
};

class answers_whole : public a_call_whose_endpoint {};

TEST_F(answers_whole, GetsTheAnswerWithItsOwnHeaders) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write(AnswerText("lots",
                                "X-Own: kept\r\n"
                                "Auburnfold-Result: forged\r\n"));
  });
  Expect(answer, 200, "complete", "ran");
  EXPECT_EQ(answer.body, "lots");
  EXPECT_EQ(answer.Header("X-Own"), "kept");
  EXPECT_FALSE(answer.Header("Auburnfold-Request-Id").empty());
}

TEST_F(answers_whole, MayGetItInChunksAfterAnInterimAnswer) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 103 Early Hints\r\n\r\n");
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    connection.Write("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  });
  Expect(answer, 200, "complete", "ran");
  EXPECT_EQ(answer.body, "abcde");
}

TEST_F(answers_whole, IsSeenByItWithoutHeadersOfTheConnection) {
  std::string seen;
  endpoint_ = std::make_unique<scripted_server>(
      [&seen](scripted_connection& connection) {
        seen = connection.ReadRequest().value_or("");
        connection.Write(AnswerText(""));
      });
  node_.Announce("listings", endpoint_->port());
  raw_client::Exchange(
      node_.call_port(),
      CallText("listings",
               "X-Own: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
               "Auburnfold-Forged: 1\r\nAuburnfold-Request-Id: root-1\r\n",
               "body"));
  EXPECT_TRUE(seen.starts_with("POST /call HTTP/1.1\r\n"));
  EXPECT_NE(seen.find("X-Own: kept\r\n"), std::string::npos);
  EXPECT_NE(seen.find("Auburnfold-Request-Id: root-1\r\n"), std::string::npos);
  EXPECT_NE(seen.find("Auburnfold-Parent: "), std::string::npos);
  EXPECT_EQ(seen.find("X-Hop"), std::string::npos);
  EXPECT_EQ(seen.find("Forged"), std::string::npos);
  EXPECT_TRUE(seen.ends_with("\r\n\r\nbody"));
}

TEST_F(answers_whole, GetsNoBodyIfItAskedForHeadersOnly) {
  endpoint_ =
      std::make_unique<scripted_server>([](scripted_connection& connection) {
        while (connection.ReadRequest()) {
          connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
        }
      });
  node_.Announce("listings", endpoint_->port());
  raw_client client(node_.call_port());
  for (int i = 0; i < 2; ++i) {
    std::string head = CallText("listings");
    client.Write(head.replace(0, 4, "HEAD"));
    const auto answer = client.Read(true);
    ASSERT_TRUE(answer);
    Expect(*answer, 200, "complete", "ran");
  }
}

TEST_F(answers_whole, KeepsTheVersionOfEachConnectionApart) {
  std::string seen;
  endpoint_ = std::make_unique<scripted_server>(
      [&seen](scripted_connection& connection) {
        seen = connection.ReadRequest().value_or("");
        connection.Write("HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nold");
      });
  node_.Announce("listings", endpoint_->port());
  raw_client client(node_.call_port());
  std::string old = CallText("listings");
  client.Write(old.replace(old.find("HTTP/1.1"), 8, "HTTP/1.0"));
  const auto answer = client.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body, "old");
  EXPECT_TRUE(seen.starts_with("POST /call HTTP/1.1\r\n"));
  EXPECT_TRUE(client.ReadsEnd());
}

class closes_before_it_answers : public a_call_whose_endpoint {};

TEST_F(closes_before_it_answers, IsToldThatTheOutcomeIsUnknown) {
  const read_answer answer = CallAgainst(
      [](scripted_connection& connection) { connection.ReadRequest(); });
  Expect(answer, 502, "answer-lost", "unknown");
}

class truncates_its_answer : public a_call_whose_endpoint {};

TEST_F(truncates_its_answer, IsToldThatTheOutcomeIsUnknown) {
  for (const char* part :
       {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwho",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n"}) {
    const read_answer answer =
        CallAgainst([part](scripted_connection& connection) {
          connection.ReadRequest();
          connection.Write(part);
        });
    Expect(answer, 502, "answer-truncated", "unknown");
  }
}

TEST_F(truncates_its_answer, IsNotToldOfSuccessIfNothingSaysWhereItEnds) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\n\r\nperhaps all of it");
  });
  Expect(answer, 502, "answer-truncated", "unknown");
}

TEST_F(truncates_its_answer, GetsTheSameForBytesThatAreNoHttp) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write("nonsense\r\n\r\n");
  });
  Expect(answer, 502, "answer-truncated", "unknown");
}

class answers_too_much : public a_call_whose_endpoint {};

TEST_F(answers_too_much, IsToldThatItRan) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n");
  });
  Expect(answer, 502, "answer-too-large", "ran");
}

TEST_F(answers_too_much, IsSaidToTheForwardingNodeAsRan) {
  endpoint_ =
      std::make_unique<scripted_server>([](scripted_connection& connection) {
        connection.ReadRequest();
        connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n");
      });
  node_.Announce("listings", endpoint_->port());
  const read_answer answer = raw_client::Exchange(
      node_.peer_port(), CallText("listings", node_.ForwardedHeaders()));
  Expect(answer, 502, "answer-too-large", "ran");
}

class refuses_before_any_work : public a_call_whose_endpoint {};

TEST_F(refuses_before_any_work, IsToldThatItDidNotRunAndWhenToComeBack) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(
          "HTTP/1.1 503 Service Unavailable\r\nAuburnfold-Ran: not-run\r\n"
          "Content-Length: 0\r\n\r\n");
    }
  });
  Expect(answer, 503, "overloaded", "not-run");
  EXPECT_FALSE(answer.Header("Retry-After").empty());
}

TEST_F(refuses_before_any_work, IsNotAssumedOfAnyOtherAnswer503) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
  });
  Expect(answer, 503, "complete", "ran");
}

// Does `then` on its first connection after a refusal, when the node has got
// the next request but has not read what came over this connection. Executes
// that request wherever it arrives.
class refused_and_then : public a_call_whose_endpoint {
 protected:
  ~refused_and_then() override { endpoint_.reset(); }

  read_answer CallAfterRefusal(
      const std::function<void(scripted_connection&)>& then) {
    endpoint_ = std::make_unique<scripted_server>(
        [this, then](scripted_connection& connection) {
          if (connection.number() == 0) {
            connection.ReadRequest();
            connection.Write(kRefusal);
            is_sent_.get_future().wait();
            then(connection);
            is_done_.set_value();
          }
          while (connection.ReadRequest()) {
            ++runs_;
            connection.Write(AnswerText("done"));
          }
        });
    node_.Announce("listings", endpoint_->port());
    raw_client forwarder(node_.peer_port());
    const std::string request = CallText("listings", node_.ForwardedHeaders());
    forwarder.Write(request);
    Expect(forwarder.Read().value(), 503, "overloaded", "not-run");
    node_.Pause();
    forwarder.Write(request);
    forwarder.WaitUntilReceived();
    is_sent_.set_value();
    is_done_.get_future().wait();
    node_.Resume();
    return forwarder.Read().value();
  }

  // Between nodes a complete answer has no header for the execution.
  void ExpectRunOnce(const read_answer& answer) const {
    Expect(answer, 200, "complete", "");
    EXPECT_EQ(answer.body, "done");
    EXPECT_EQ(runs_, 1);
  }

  static constexpr std::string_view kRefusal =
      "HTTP/1.1 503 Service Unavailable\r\nAuburnfold-Ran: not-run\r\n"
      "Content-Length: 0\r\n\r\n";

  std::atomic<int> runs_ = 0;
  std::promise<void> is_sent_;
  std::promise<void> is_done_;
};

TEST_F(refused_and_then, RefusedOnceMoreIsNotTakenAtItsWordForTheNext) {
  const read_answer answer = CallAfterRefusal(
      [](scripted_connection& connection) { connection.Write(kRefusal); });
  ExpectRunOnce(answer);
}

TEST_F(refused_and_then, ClosedTheConnectionExecutesTheNextOverAnother) {
  const read_answer answer = CallAfterRefusal(
      [](scripted_connection& connection) { connection.Close(); });
  ExpectRunOnce(answer);
}

class is_not_there : public a_call_whose_endpoint {};

TEST_F(is_not_there, IsToldThatItDidNotRun) {
  std::uint16_t port = 0;
  {
    scripted_server gone(AnswersWith(""));
    port = gone.port();
  }
  node_.Announce("listings", port);
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("listings"));
  Expect(answer, 502, "endpoint-unreachable", "not-run");
}

// Answers nothing on its first connection, and at once on later ones.
class is_silent_at_first : public a_call_whose_endpoint {
 protected:
  is_silent_at_first() {
    endpoint_ = std::make_unique<scripted_server>(
        [this](scripted_connection& connection) {
          while (connection.ReadRequest()) {
            if (connection.number() == 0) {
              first_asked_.set_value();
              connection.ReadRequest();
              first_closed_.set_value();
              return;
            }
            connection.Write(AnswerText("second"));
          }
        });
    node_.Announce("listings", endpoint_->port());
  }

  // Ends the script, which sets the promises, before they are destroyed.
  ~is_silent_at_first() override { endpoint_.reset(); }

  std::promise<void> first_asked_;
  std::promise<void> first_closed_;
};

TEST_F(is_silent_at_first, IsToldAtItsDeadlineThatTheOutcomeIsUnknown) {
  const read_answer answer = raw_client::Exchange(
      node_.call_port(), CallText("listings", "Auburnfold-Timeout-Ms: 50\r\n"));
  Expect(answer, 504, "answer-timeout", "unknown");
}

TEST_F(is_silent_at_first, LeavesAConnectionThatIsNotUsedAgain) {
  raw_client::Exchange(node_.call_port(),
                       CallText("listings", "Auburnfold-Timeout-Ms: 50\r\n"));
  first_closed_.get_future().wait();
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("listings"));
  Expect(answer, 200, "complete", "ran");
  EXPECT_EQ(answer.body, "second");
}

TEST_F(is_silent_at_first, HasItsWorkCancelledWhenItsCallerGoes) {
  raw_client caller(node_.call_port());
  caller.Write(CallText("listings"));
  first_asked_.get_future().wait();
  caller.Close();
  first_closed_.get_future().wait();
  node_.WaitForMetric("auburnfold_works_in_flight", 0);
  EXPECT_EQ(node_.Metric("auburnfold_calls_in_flight"), 0);
}

class answers_many_on_one_connection : public a_call_whose_endpoint {};

TEST_F(answers_many_on_one_connection, GetsEachItsOwnAnswerInOrder) {
  std::atomic<std::uint64_t> last_connection = 0;
  endpoint_ = std::make_unique<scripted_server>(
      [&last_connection](scripted_connection& connection) {
        last_connection = connection.number();
        while (const auto request = connection.ReadRequest()) {
          connection.Write(AnswerText(request->substr(request->size() - 2)));
        }
      });
  node_.Announce("listings", endpoint_->port());
  raw_client client(node_.call_port());
  std::string pipelined;
  for (int i = 10; i < 30; ++i) {
    pipelined += CallText("listings", {}, std::to_string(i));
  }
  client.Write(pipelined);
  for (int i = 10; i < 30; ++i) {
    const auto answer = client.Read();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->body, std::to_string(i));
  }
  EXPECT_EQ(last_connection, 0U);
}

}  // namespace
}  // namespace auburnfold::testing_support
