#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

std::string PeerAnswer(unsigned status, std::string_view headers) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" +
         std::string(headers) + "Content-Length: 0\r\n\r\n";
}

class a_call_through_a_peer : public testing::Test {
 protected:
  read_answer CallAgainst(scripted_server::script script) {
    peer_ = std::make_unique<scripted_server>(std::move(script));
    node_.AnnouncePeer("faults", peer_->port());
    return raw_client::Exchange(node_.call_port(), CallText("faults"));
  }

  read_answer CallAnswered(const std::string& bytes) {
    return CallAgainst([this, bytes](scripted_connection& connection) {
      while (connection.ReadRequest()) {
        ++requests_;
        connection.Write(bytes);
      }
    });
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
  std::unique_ptr<scripted_server> peer_;
  std::atomic<int> requests_ = 0;
};

TEST_F(a_call_through_a_peer, CarriesWhatThePeerNeeds) {
  std::string seen;
  CallAgainst([&seen](scripted_connection& connection) {
    seen = connection.ReadRequest().value_or("");
    connection.Write(PeerAnswer(200, "Auburnfold-Result: complete\r\n"));
  });
  for (const char* line :
       {"Auburnfold-Service: faults\r\n", "Auburnfold-Class: lookup\r\n",
        "Auburnfold-Tenant: default\r\n", "Auburnfold-Depth: 0\r\n",
        "Auburnfold-From: 0000000000000001\r\n",
        "Auburnfold-Expected-Run: 1\r\n", "Auburnfold-Priority: 3\r\n"}) {
    EXPECT_NE(seen.find(line), std::string::npos) << line << seen;
  }
}

TEST_F(a_call_through_a_peer, BelievesThePeerThatItDidNotRun) {
  const read_answer answer = CallAnswered(PeerAnswer(
      503,
      "Auburnfold-Result: queue-deadline\r\nAuburnfold-Ran: not-run\r\n"
      "Auburnfold-Retry-After-Ms: 1500\r\n"));
  Expect(answer, 503, "queue-deadline", "not-run");
  const int delay_ms = std::stoi(answer.Header("Auburnfold-Retry-After-Ms"));
  EXPECT_GT(delay_ms, 0);
  EXPECT_EQ(std::stoi(answer.Header("Retry-After")), (delay_ms + 999) / 1000);
}

TEST_F(a_call_through_a_peer, BelievesThePeerThatTheOutcomeIsUnknown) {
  const read_answer answer =
      CallAnswered(PeerAnswer(502,
                              "Auburnfold-Result: answer-lost\r\n"
                              "Auburnfold-Ran: unknown\r\n"));
  Expect(answer, 502, "answer-lost", "unknown");
  EXPECT_EQ(requests_, 1);
}

// The refusal is there once more when the next call is sent on, and the peer
// executes that call.
TEST_F(a_call_through_a_peer, DoesNotBelieveARefusalThatCameBeforeIt) {
  const std::string refusal = PeerAnswer(
      503, "Auburnfold-Result: key-memory-full\r\nAuburnfold-Ran: not-run\r\n");
  std::promise<void> is_sent;
  std::promise<void> is_repeated;
  peer_ = std::make_unique<scripted_server>([&](scripted_connection& one) {
    if (one.number() == 0) {
      one.ReadRequest();
      one.Write(refusal);
      is_sent.get_future().wait();
      one.Write(refusal);
      is_repeated.set_value();
    }
    while (one.ReadRequest()) {
      ++requests_;
      one.Write(PeerAnswer(200, "Auburnfold-Result: complete\r\n"));
    }
  });
  node_.AnnouncePeer("faults", peer_->port());
  raw_client caller(node_.call_port());
  caller.Write(CallText("faults"));
  Expect(caller.Read().value(), 503, "key-memory-full", "not-run");
  node_.Pause();
  caller.Write(CallText("faults"));
  caller.WaitUntilReceived();
  is_sent.set_value();
  is_repeated.get_future().wait();
  node_.Resume();
  Expect(caller.Read().value(), 200, "complete", "ran");
  EXPECT_EQ(requests_, 1);
  peer_.reset();
}

TEST_F(a_call_through_a_peer, IsUnknownIfWhoAnswersIsNoNode) {
  const read_answer answer = CallAnswered(AnswerText("hello"));
  Expect(answer, 500, "internal", "unknown");
  EXPECT_EQ(requests_, 1);
}

TEST_F(a_call_through_a_peer, IsUnknownIfThePeerClosesBeforeItAnswers) {
  const read_answer answer = CallAgainst([this](scripted_connection& one) {
    if (one.ReadRequest()) {
      ++requests_;
    }
  });
  Expect(answer, 502, "answer-lost", "unknown");
  EXPECT_EQ(requests_, 1);
}

TEST_F(a_call_through_a_peer, IsUnknownIfThePeerTruncatesItsAnswer) {
  const read_answer answer = CallAgainst([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write(
        "HTTP/1.1 200 OK\r\nAuburnfold-Result: complete\r\n"
        "Content-Length: 9\r\n\r\npart");
  });
  Expect(answer, 502, "answer-truncated", "unknown");
}

TEST_F(a_call_through_a_peer, DidNotRunIfThePeerCannotBeReached) {
  std::uint16_t port = 0;
  {
    scripted_server gone(AnswersWith(""));
    port = gone.port();
  }
  node_.AnnouncePeer("faults", port);
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("faults"));
  Expect(answer, 502, "endpoint-unreachable", "not-run");
}

TEST_F(a_call_through_a_peer, OfAnEndpointBelongsToTheRequestItIsMadeFor) {
  std::string seen;
  peer_ = std::make_unique<scripted_server>([&seen](scripted_connection& one) {
    seen = one.ReadRequest().value_or("");
    one.Write(PeerAnswer(200, "Auburnfold-Result: complete\r\n"));
  });
  node_.AnnouncePeer("faults", peer_->port());
  scripted_server endpoint([this](scripted_connection& connection) {
    const std::string request = connection.ReadRequest().value_or("");
    const std::size_t parent = request.find("Auburnfold-Parent: ");
    const std::size_t end = request.find("\r\n", parent) + 2;
    raw_client::Exchange(
        node_.call_port(),
        CallText("faults", request.substr(parent, end - parent)));
    connection.Write(AnswerText("deep"));
  });
  node_.Announce("listings", endpoint.port());
  const read_answer answer = raw_client::Exchange(
      node_.call_port(),
      CallText("listings", "Auburnfold-Request-Id: root-1\r\n"));
  EXPECT_EQ(answer.body, "deep");
  EXPECT_NE(seen.find("Auburnfold-Request-Id: root-1\r\n"), std::string::npos);
  EXPECT_NE(seen.find("Auburnfold-Depth: 1\r\n"), std::string::npos);
}

class a_control_message : public testing::Test {
 protected:
  running_node node_;
};

TEST_F(a_control_message, ThatCannotBeUnderstoodIsCountedAndNothingElse) {
  node_.SendControl({0x81, 0x81, 0x81});
  node_.SendControl({});
  node_.SendControl({0xff, 0x00, 0x9b});
  node_.WaitForMetric("auburnfold_control_messages_rejected_total", 3);
  EXPECT_EQ(node_.Metric("auburnfold_control_messages_received_total"), 3);
  node_.AnnouncePeer("faults", 1);
  EXPECT_EQ(node_.Metric("auburnfold_control_messages_rejected_total"), 3);
}

}  // namespace
}  // namespace auburnfold::testing_support
