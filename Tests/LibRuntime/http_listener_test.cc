#include "LibRuntime/Connections/http_listener.h"

#include <gtest/gtest.h>

#include <chrono>
#include <list>
#include <stdexcept>
#include <utility>
#include <vector>

#include "LibRuntime/Connections/http_responses.h"
#include "raw_client.h"

namespace auburnfold {
namespace {

using testing_support::raw_client;
using testing_support::receive_window;

class a_listener : public testing::Test {
 protected:
  a_listener() { EXPECT_FALSE(listener_.Listen("127.0.0.1", 0)); }

  // More than a small window takes, and less than a send buffer.
  static constexpr std::size_t kAnswerBytes = 100'000;

  /// Answers all requests so far.
  void AnswerAll() {
    for (const auto& exchange : std::exchange(exchanges_, {})) {
      exchange->Respond(MakeTextResponse(http::status::ok, "text/plain",
                                         std::string(kAnswerBytes, 'x')));
    }
    io_.poll();
  }

  asio::io_context io_{1};
  node_metrics metrics_{1};
  std::vector<std::shared_ptr<server_exchange>> exchanges_;
  std::vector<request_id> undelivered_;
  session_handlers handlers_{
      .on_request =
          [this](const std::shared_ptr<server_exchange>& exchange,
                 const http_request&) { exchanges_.push_back(exchange); },
      .on_rejected = [](const std::shared_ptr<server_exchange>&, error_kind) {},
      .on_undelivered =
          [this](const request_id& request) {
            undelivered_.push_back(request);
          }};
  http_listener listener_{io_, handlers_, metrics_};
};

// With one connection accepted for each handler that runs, connections of a
// busy node waited in the accept queue until their callers had left.
TEST_F(a_listener, AcceptsAllConnectionsThatWaitInOneTurn) {
  constexpr std::size_t kWaiting = 20;
  std::list<raw_client> clients;
  for (std::size_t i = 0; i < kWaiting; ++i) {
    clients.emplace_back(listener_.port());
    clients.back().Write("G");
    clients.back().WaitUntilReceived();
  }
  io_.run_one();
  EXPECT_EQ(listener_.session_count(), kWaiting);
}

/// Whoever handles its requests throws.
class a_listener_whose_owner_throws : public a_listener {
 protected:
  static session_handlers ThrowingHandlers(session_handlers handlers) {
    handlers.on_rejected = [](const std::shared_ptr<server_exchange>&,
                              error_kind) { throw std::length_error("odd"); };
    return handlers;
  }

  http_listener odd_listener_{io_, ThrowingHandlers(handlers_), metrics_};
};

// The exception ended the process.
TEST_F(a_listener_whose_owner_throws, ClosesThatConnectionOnly) {
  ASSERT_FALSE(odd_listener_.Listen("127.0.0.1", 0));
  raw_client other(odd_listener_.port());
  raw_client client(odd_listener_.port());
  client.Write("no request\r\n\r\n");
  client.WaitUntilReceived();
  io_.run_for(std::chrono::milliseconds(200));
  odd_listener_.Sweep();
  ASSERT_EQ(odd_listener_.session_count(), 1U);
  EXPECT_TRUE(client.ReadsEnd());
}

class a_listener_with_a_limit : public a_listener {
 protected:
  a_listener_with_a_limit() { listener_.LimitSessions(2); }

  std::unique_ptr<raw_client> Connect() {
    auto client = std::make_unique<raw_client>(listener_.port());
    HandleNext();
    return client;
  }

  std::size_t OpenSessions() {
    listener_.Sweep();
    return listener_.session_count();
  }

  // Waits for what comes next, since bytes may still be on their way.
  void HandleNext() {
    io_.run_one();
    io_.poll();
  }
};

// Connections that callers keep open and do not use took all descriptors, and
// new callers waited in the accept queue.
TEST_F(a_listener_with_a_limit, ClosesTheSessionThatIsIdleLongest) {
  const auto first = Connect();
  const auto second = Connect();
  const auto third = Connect();
  ASSERT_EQ(OpenSessions(), 2U);
  EXPECT_TRUE(first->ReadsEnd());
}

TEST_F(a_listener_with_a_limit, KeepsSessionsWithARequest) {
  const auto first = Connect();
  const auto second = Connect();
  first->Write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  HandleNext();
  const auto third = Connect();
  ASSERT_EQ(OpenSessions(), 2U);
  EXPECT_TRUE(second->ReadsEnd());
}

TEST_F(a_listener_with_a_limit, KeepsSessionsWithPartOfARequest) {
  const auto first = Connect();
  const auto second = Connect();
  first->Write("GET / HTTP/1.1\r\n");
  HandleNext();
  const auto third = Connect();
  ASSERT_EQ(OpenSessions(), 2U);
  EXPECT_TRUE(second->ReadsEnd());
}

TEST_F(a_listener_with_a_limit, KeepsSessionsWithAnUnreadRequest) {
  const auto first = Connect();
  const auto second = Connect();
  raw_client third(listener_.port());
  third.Write("G");
  third.WaitUntilReceived();
  first->Write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  first->WaitUntilReceived();
  HandleNext();
  ASSERT_EQ(OpenSessions(), 2U);
  EXPECT_TRUE(second->ReadsEnd());
}

// Guards against an answer that was lost with a reset (LOST) when its client
// sent the next request.
TEST_F(a_listener_with_a_limit, KeepsSessionsWhosePeerStillReadsAnAnswer) {
  raw_client first(listener_.port(), receive_window::kSmall);
  HandleNext();
  first.Write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
  HandleNext();
  AnswerAll();
  const auto second = Connect();
  const auto third = Connect();
  ASSERT_EQ(OpenSessions(), 2U);
  EXPECT_TRUE(second->ReadsEnd());
}

// A client that pipelines may not have read what its system has received.
TEST_F(a_listener_with_a_limit, ClosesEndedSessionsThatTheirPeersKeepOpen) {
  constexpr std::chrono::milliseconds kLongerThanALinger{2100};
  listener_.set_limits({.max_pipelined = 2});
  raw_client first(listener_.port());
  HandleNext();
  first.Write(
      "GET /1 HTTP/1.1\r\nHost: test\r\n\r\n"
      "GET /2 HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n");
  HandleNext();
  ASSERT_EQ(exchanges_.size(), 2U);
  exchanges_.front()->SetRequest(
      request_id("r-1"), server_exchange::clock::now() + std::chrono::hours(1));
  AnswerAll();
  ASSERT_TRUE(first.Read());
  ASSERT_TRUE(first.Read());
  io_.run_for(kLongerThanALinger);
  listener_.Sweep();
  ASSERT_EQ(listener_.session_count(), 1U);
  const auto second = Connect();
  const auto third = Connect();
  EXPECT_EQ(OpenSessions(), 2U);
}

class a_listener_with_pipelines : public a_listener {
 protected:
  a_listener_with_pipelines() { listener_.set_limits({.max_pipelined = 2}); }

  void RunUntilRequested(std::size_t count) {
    while (exchanges_.size() < count) {
      io_.run_one();
    }
  }
};

// Guards against an answer that was lost (LOST) when handling the request
// behind it failed.
TEST_F(a_listener_with_pipelines, AnswersWhatCameBeforeARequestThatFails) {
  raw_client client(listener_.port());
  client.Write(
      "GET /1 HTTP/1.1\r\nHost: test\r\n\r\n"
      "GET /2 HTTP/1.1\r\nHost: test\r\n\r\n");
  RunUntilRequested(2);
  exchanges_.back()->EndConnection();
  exchanges_.pop_back();
  AnswerAll();
  const auto answer = client.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body.size(), kAnswerBytes);
  EXPECT_TRUE(client.ReadsEnd());
}

TEST_F(a_listener_with_pipelines, EndsTheConnectionIfItsOnlyRequestFails) {
  raw_client client(listener_.port());
  client.Write("GET /1 HTTP/1.1\r\nHost: test\r\n\r\n");
  RunUntilRequested(1);
  exchanges_.back()->EndConnection();
  EXPECT_TRUE(client.ReadsEnd());
}

class a_listener_that_closes : public a_listener {
 protected:
  /// Of a client that has read nothing.
  void AnswerRequestOf(raw_client& client) {
    client.Write("GET / HTTP/1.1\r\nHost: test\r\n\r\n");
    while (exchanges_.empty()) {
      io_.run_one();
    }
    exchanges_.front()->SetRequest(request_id("r-1"), {});
    AnswerAll();
  }
};

// Guards against answers that were lost with a reset (LOST): bytes were unread
// when the connection was closed.
TEST_F(a_listener_that_closes, DeliversWhatWasWrittenAlthoughMoreHasArrived) {
  raw_client client(listener_.port(), receive_window::kSmall);
  AnswerRequestOf(client);
  client.Write("GET /next HTTP/1.1\r\nHost: test\r\n\r\n");
  client.WaitUntilReceived();
  listener_.Close();
  const auto answer = client.Read();
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->body.size(), kAnswerBytes);
}

TEST_F(a_listener_that_closes, ReportsTheAnswersThatItsPeersHaveNotReceived) {
  raw_client slow(listener_.port(), receive_window::kSmall);
  AnswerRequestOf(slow);
  listener_.Close();
  EXPECT_EQ(undelivered_, std::vector{request_id("r-1")});
}

TEST_F(a_listener_that_closes, ReportsNoAnswerThatItsPeerHasReceived) {
  raw_client client(listener_.port());
  AnswerRequestOf(client);
  ASSERT_TRUE(client.Read());
  listener_.Close();
  EXPECT_TRUE(undelivered_.empty());
}

}  // namespace
}  // namespace auburnfold
