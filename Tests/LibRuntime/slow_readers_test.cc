#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

/// Where the part of an answer is that a client has not read.
struct unread_answer {
  const char* name;
  std::size_t bytes;
  receive_window window;
};

void PrintTo(const unread_answer& answer, std::ostream* out) {
  *out << answer.name;
}

constexpr unread_answer kAtTheNode{"AtTheNode", 400'000,
                                   receive_window::kSmall};
constexpr unread_answer kAtTheClient{"AtTheClient", 20'000,
                                     receive_window::kDefault};

/// Longer than a node waits for a client without a deadline.
constexpr std::chrono::seconds kPause{4};

/// Waits until the node has handed its answers to the operating system.
void WaitUntilAnswered(const running_node& node, raw_client& client) {
  client.WaitForBytes();
  while (node.Metric("auburnfold_calls_in_flight") > 0) {
  }
}

void ExpectWholeAnswer(raw_client& client, const unread_answer& expected) {
  const auto answer = client.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->status, 200U);
  EXPECT_EQ(answer->body.size(), expected.bytes);
}

/// What a client sends that does not wait for answers.
std::string TwoCalls(const std::string& service) {
  return CallText(service) + CallText(service);
}

/// The client reads only after it has sent `more`, which a closed connection
/// answers with a reset.
void ExpectWholeAnswerBehind(const std::string& more,
                             raw_client& client,
                             const unread_answer& expected) {
  client.Write(more);
  EXPECT_TRUE(client.WaitUntilReceived());
  ExpectWholeAnswer(client, expected);
}

// The tests of this file guard against answers that are lost with a reset
// (LOST): the node closes a connection although its client has not read them.

class a_client_that_reads_late : public testing::TestWithParam<unread_answer> {
 protected:
  scripted_server endpoint_{AnswersWith(std::string(GetParam().bytes, 'x'))};
};

// A node closed the connection two seconds after its last answer was written.
TEST_P(a_client_that_reads_late, ReceivesTheAnswerToItsLastRequest) {
  const std::string last = CallText("listings", "Connection: close\r\n");
  std::string old_version = CallText("listings");
  old_version.replace(old_version.find("HTTP/1.1"), 8, "HTTP/1.0");
  const std::string malformed = "no request\r\n\r\n";
  running_node node;
  node.Announce("listings", endpoint_.port());
  std::vector<std::unique_ptr<raw_client>> clients;
  for (const std::string& ending : {last, old_version, malformed}) {
    clients.push_back(
        std::make_unique<raw_client>(node.call_port(), GetParam().window));
    clients.back()->Write(CallText("listings") + ending);
    WaitUntilAnswered(node, *clients.back());
  }
  std::this_thread::sleep_for(kPause);
  for (const auto& client : clients) {
    ExpectWholeAnswerBehind(CallText("listings"), *client, GetParam());
  }
}

// The time to read the answer counted as idle.
TEST_P(a_client_that_reads_late, ReceivesTheAnswerBeforeTheIdleTimeout) {
  running_node node{caller_limits{.idle_timeout = std::chrono::seconds(1)}};
  node.Announce("listings", endpoint_.port());
  raw_client client(node.call_port(), GetParam().window);
  client.Write(TwoCalls("listings"));
  WaitUntilAnswered(node, client);
  std::this_thread::sleep_for(kPause);
  ExpectWholeAnswerBehind(CallText("listings"), client, GetParam());
}

TEST(a_client_whose_system_receives, IsNotIdle) {
  scripted_server endpoint(AnswersWith(std::string(kAtTheNode.bytes, 'x')));
  running_node node{caller_limits{.idle_timeout = std::chrono::seconds(1)}};
  node.Announce("listings", endpoint.port());
  raw_client client(node.call_port(), kAtTheNode.window);
  client.Write(CallText("listings"));
  WaitUntilAnswered(node, client);
  std::this_thread::sleep_for(kPause);
  ExpectWholeAnswerBehind(CallText("listings"), client, kAtTheNode);
  ExpectWholeAnswer(client, kAtTheNode);
}

// The time to send the request behind the answer ran out.
TEST_P(a_client_that_reads_late, ReceivesTheAnswerBeforeAnIncompleteRequest) {
  constexpr std::chrono::seconds kLongerThanTheTimeout{12};
  running_node node;
  node.Announce("listings", endpoint_.port());
  raw_client client(node.call_port(), GetParam().window);
  client.Write(CallText("listings") + "POST /ca");
  WaitUntilAnswered(node, client);
  std::this_thread::sleep_for(kLongerThanTheTimeout);
  ExpectWholeAnswerBehind("ll", client, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Unread,
                         a_client_that_reads_late,
                         testing::Values(kAtTheNode, kAtTheClient),
                         [](const auto& answer) { return answer.param.name; });

/// A node that is asked to stop while one call is at work.
class stopping_node {
 public:
  explicit stopping_node(std::size_t answer_bytes,
                         const node_settings& settings = LoopbackSettings())
      : answer_bytes_(answer_bytes), node_(settings) {
    node_.Announce("listings", endpoint_.port());
  }
  ~stopping_node() { AnswerNow(); }
  stopping_node(const stopping_node&) = delete;
  stopping_node& operator=(const stopping_node&) = delete;

  running_node& node() { return node_; }

  /// Sends `call` to `listings`, and begins the stop before its answer.
  void CallAndStop(raw_client& client, const std::string& call) {
    client.Write(call);
    asked_.get_future().wait();
    node_.Stop();
    while (
        raw_client::Exchange(node_.admin_port(), "GET /readyz HTTP/1.1\r\n\r\n")
            .status != 503) {
    }
    AnswerNow();
    client.WaitForBytes();
  }

 private:
  void AnswerNow() {
    if (!is_allowed_) {
      is_allowed_ = true;
      allowed_.set_value();
    }
  }

  std::size_t answer_bytes_;
  std::promise<void> asked_;
  std::promise<void> allowed_;
  bool is_allowed_ = false;
  scripted_server endpoint_{[this](scripted_connection& connection) {
    connection.ReadRequest();
    asked_.set_value();
    allowed_.get_future().wait();
    connection.Write(AnswerText(std::string(answer_bytes_, 'x')));
  }};
  running_node node_;
};

class a_client_of_a_stopping_node
    : public testing::TestWithParam<unread_answer> {
 protected:
  stopping_node stopping_{GetParam().bytes};
};

TEST_P(a_client_of_a_stopping_node, ReceivesItsAnswerAlthoughItSendsMore) {
  raw_client client(stopping_.node().call_port(), GetParam().window);
  stopping_.CallAndStop(client, TwoCalls("listings"));
  std::this_thread::sleep_for(kPause);
  ExpectWholeAnswerBehind(CallText("listings"), client, GetParam());
  client.Close();
  EXPECT_EQ(stopping_.node().WaitUntilStopped(), 0U);
}

TEST_P(a_client_of_a_stopping_node, ReceivesItsAnswerAsAnotherNode) {
  raw_client client(stopping_.node().peer_port(), GetParam().window);
  stopping_.CallAndStop(
      client, CallText("listings", stopping_.node().ForwardedHeaders()));
  std::this_thread::sleep_for(kPause);
  ExpectWholeAnswer(client, GetParam());
}

// A connection whose last answer was written before the stop counted as idle.
TEST_P(a_client_of_a_stopping_node, ReceivesAnAnswerOfBeforeTheStop) {
  running_node& node = stopping_.node();
  scripted_server packs([](scripted_connection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(AnswerText(std::string(GetParam().bytes, 'x'),
                                  "Auburnfold-Result: complete\r\n"));
    }
  });
  raw_client client(node.call_port(), GetParam().window);
  node.AnnouncePeer("packs", packs.port());
  client.Write(TwoCalls("packs"));
  WaitUntilAnswered(node, client);
  raw_client other(node.call_port());
  stopping_.CallAndStop(other, CallText("listings"));
  other.Close();
  std::this_thread::sleep_for(kPause);
  ExpectWholeAnswerBehind(CallText("packs"), client, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Unread,
                         a_client_of_a_stopping_node,
                         testing::Values(kAtTheNode, kAtTheClient),
                         [](const auto& answer) { return answer.param.name; });

node_settings WithoutStopLimit() {
  node_settings settings = LoopbackSettings();
  settings.stop_limit = std::chrono::hours(1);
  return settings;
}

std::string CallWithin(std::chrono::milliseconds deadline) {
  return CallText("listings", "Auburnfold-Timeout-Ms: " +
                                  std::to_string(deadline.count()) + "\r\n");
}

/// What no client may hold for longer than it is owed.
class a_stop_without_a_limit : public testing::TestWithParam<unread_answer> {
 protected:
  stopping_node stopping_{GetParam().bytes, WithoutStopLimit()};
};

TEST_P(a_stop_without_a_limit, EndsAtTheDeadlineOfAClientThatNeverReads) {
  raw_client client(stopping_.node().call_port(), GetParam().window);
  stopping_.CallAndStop(client, CallWithin(std::chrono::seconds(3)));
  EXPECT_EQ(stopping_.node().WaitUntilStopped(), 0U);
}

TEST_P(a_stop_without_a_limit, EndsAtTheDeadlineOfAPipelineThatNeverCloses) {
  raw_client client(stopping_.node().call_port(), GetParam().window);
  const std::string call = CallWithin(std::chrono::seconds(3));
  stopping_.CallAndStop(client, call + call);
  ExpectWholeAnswer(client, GetParam());
  EXPECT_EQ(stopping_.node().WaitUntilStopped(), 0U);
}

TEST_P(a_stop_without_a_limit, IsNotHeldByAPipelineThatReadsAndCloses) {
  raw_client client(stopping_.node().call_port(), GetParam().window);
  const std::string call = CallWithin(std::chrono::minutes(10));
  stopping_.CallAndStop(client, call + call);
  ExpectWholeAnswer(client, GetParam());
  client.Close();
  EXPECT_EQ(stopping_.node().WaitUntilStopped(), 0U);
}

// Its system takes the whole answer at once.
TEST(a_client_without_a_pipeline, DoesNotHoldAStopIfItReadsAndNeverCloses) {
  stopping_node stopping(kAtTheClient.bytes, WithoutStopLimit());
  raw_client client(stopping.node().call_port());
  stopping.CallAndStop(client, CallWithin(std::chrono::minutes(10)));
  EXPECT_EQ(stopping.node().WaitUntilStopped(), 0U);
  ExpectWholeAnswer(client, kAtTheClient);
}

INSTANTIATE_TEST_SUITE_P(Unread,
                         a_stop_without_a_limit,
                         testing::Values(kAtTheNode, kAtTheClient),
                         [](const auto& answer) { return answer.param.name; });

}  // namespace
}  // namespace auburnfold::testing_support
