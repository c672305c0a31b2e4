#include "LibRuntime/Connections/http_listener.h"

#include <gtest/gtest.h>

#include <list>
#include <stdexcept>

#include "raw_client.h"

namespace auburnfold {
namespace {

using testing_support::raw_client;

class a_listener : public testing::Test {
 protected:
  a_listener() { EXPECT_FALSE(listener_.Listen("127.0.0.1", 0)); }

  asio::io_context io_{1};
  node_metrics metrics_{1};
  // Leaves every request unanswered.
  session_handlers handlers_{
      .on_request = [](const std::shared_ptr<server_exchange>&,
                       const http_request&) {},
      .on_rejected = [](const std::shared_ptr<server_exchange>&,
                        error_kind) {}};
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

}  // namespace
}  // namespace auburnfold
