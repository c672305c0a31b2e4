#include <gtest/gtest.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>

#include "LibRuntime/Connections/connection_pool.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

constexpr std::chrono::seconds kPatience{30};

// A request that is larger than all buffers on its way, to a server that
// answers without reading it.
class a_request_still_being_sent : public testing::Test {
 protected:
  static constexpr std::size_t kUploadBytes = std::size_t{64} * 1024 * 1024;

  static client_request Get() {
    client_request request;
    request.message = http_request_view(http::verb::get, "/", kHttp11);
    request.message.set(http::field::host, "test");
    return request;
  }

  client_request Upload() {
    client_request request = Get();
    request.message.method(http::verb::post);
    request.message.body() = {upload_.data(), upload_.size()};
    request.message.prepare_payload();
    request.allows_close_delimited_response = true;
    request.on_sending = [this](connection_id) { is_sending_ = true; };
    return request;
  }

  /// Reads nothing before `answer` has been given and ended.
  client_result ExchangeWith(const scripted_server::script& answer) {
    std::promise<void> sending;
    std::promise<void> answered;
    scripted_server server([&](scripted_connection& connection) {
      if (connection.number() == 0) {
        sending.get_future().wait();
        answer(connection);
        answered.set_value();
      }
      while (connection.ReadRequest()) {
        connection.Write(AnswerText("second"));
      }
    });
    connection_pool pool(
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), server.port()),
        [this] { return connection_id(++last_id_); }, [](connection_id) {},
        memory_);
    std::optional<client_result> ended;
    client_request upload = Upload();
    upload.on_finished = [&](client_result result) {
      ended = std::move(result);
      client_request next = Get();
      next.on_finished = [this](client_result second) {
        next_ = std::move(second);
      };
      pool.Send(std::move(next));
    };
    pool.Send(std::move(upload));
    while (!is_sending_ && io_.run_one_for(kPatience) > 0) {
    }
    sending.set_value();
    answered.get_future().wait();
    while (!next_ && io_.run_one_for(kPatience) > 0) {
    }
    EXPECT_TRUE(ended && next_);
    return std::move(ended).value_or(client_result{});
  }

  asio::io_context io_;
  body_memory memory_{kMaxResponseMemoryBytes};
  std::uint64_t last_id_ = 0;
  std::string upload_ = std::string(kUploadBytes, 'u');
  bool is_sending_ = false;
  /// Of a request that is sent right after the upload has ended.
  std::optional<client_result> next_;
};

class when_a_reset_cuts_its_answer : public a_request_still_being_sent {};

// The failed write takes the reset's error, so that the read after it sees no
// more than the end.
TEST_F(when_a_reset_cuts_its_answer, DoesNotTakeItForAnOrderlyEnd) {
  const client_result result = ExchangeWith([](scripted_connection& one) {
    one.Write("HTTP/1.1 200 OK\r\n\r\nperhaps all of");
    one.Reset();
  });
  EXPECT_EQ(result.error, error_kind::kAnswerTruncated);
  EXPECT_EQ(result.execution, execution_state::kUnknown);
}

class when_its_answer_is_whole : public a_request_still_being_sent {};

TEST_F(when_its_answer_is_whole, GetsItThoughItsConnectionIsReset) {
  const client_result result = ExchangeWith([](scripted_connection& one) {
    one.Write(AnswerText("early"));
    one.Reset();
  });
  EXPECT_FALSE(result.error);
  EXPECT_EQ(result.response.body(), "early");
}

TEST_F(when_its_answer_is_whole, LeavesAConnectionThatIsNotUsedAgain) {
  ExchangeWith([](scripted_connection& one) {
    one.Write(AnswerText("early"));
    one.Reset();
  });
  EXPECT_FALSE(next_->error);
  EXPECT_EQ(next_->response.body(), "second");
}

TEST_F(when_its_answer_is_whole, GetsItIfItEndsInOrderWithoutALength) {
  const client_result result = ExchangeWith([](scripted_connection& one) {
    one.Write("HTTP/1.1 200 OK\r\n\r\nall of it");
    one.EndWrites();
  });
  EXPECT_FALSE(result.error);
  EXPECT_EQ(result.response.body(), "all of it");
}

TEST_F(when_its_answer_is_whole, GetsItIfAResetFollowsItsOrderlyEnd) {
  const client_result result = ExchangeWith([](scripted_connection& one) {
    one.Write("HTTP/1.1 200 OK\r\n\r\nall of it");
    one.EndWrites();
    one.Reset();
  });
  EXPECT_FALSE(result.error);
  EXPECT_EQ(result.response.body(), "all of it");
}

class a_call_still_being_sent : public testing::Test {};

TEST_F(a_call_still_being_sent, GetsNoPartOfAnAnswerThatAResetCutsAsWhole) {
  running_node node(LoopbackSettings(),
                    any_wire_dialect(dialect_of_open_ends()));
  scripted_server endpoint(
      [&node](scripted_connection& connection) {
        connection.WaitForBytes();
        node.Pause();
        connection.Write("HTTP/1.1 200 OK\r\n\r\nperhaps all of");
        connection.Reset();
        node.Resume();
      },
      receive_window::kSmall);
  node.Announce("listings", endpoint.port());
  const read_answer answer = raw_client::Exchange(
      node.call_port(),
      CallText("listings", {}, std::string(kMaxBodyBytes, 'u')));
  EXPECT_EQ(answer.status, 502);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "answer-truncated");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
}

}  // namespace
}  // namespace auburnfold::testing_support
