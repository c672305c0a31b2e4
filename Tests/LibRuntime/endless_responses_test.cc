#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "LibRuntime/Connections/connection_pool.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// An endpoint that answers with `head` and then repeats `part` until the node
// closes the connection.
scripted_server::script Endless(std::string head, std::string part) {
  return [head = std::move(head),
          part = std::move(part)](scripted_connection& connection) {
    connection.ReadRequest();
    std::string bytes = head;
    while (connection.Write(bytes)) {
      bytes = part;
    }
  };
}

std::string Chunks() {
  std::string chunks;
  for (int i = 0; i < 64; ++i) {
    chunks += "400\r\n" + std::string(1024, 'x') + "\r\n";
  }
  return chunks;
}

class an_endpoint_that_answers_without_end : public testing::Test {
 protected:
  read_answer CallAgainst(scripted_server::script script) {
    endpoint_ = std::make_unique<scripted_server>(std::move(script));
    node_.Announce("listings", endpoint_->port());
    return raw_client::Exchange(node_.call_port(), CallText("listings"));
  }

  running_node node_;
  std::unique_ptr<scripted_server> endpoint_;
};

TEST_F(an_endpoint_that_answers_without_end, IsCutOffInTheBody) {
  const read_answer answer = CallAgainst(Endless(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Chunks()));
  EXPECT_EQ(answer.status, 502U);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "answer-too-large");
}

TEST_F(an_endpoint_that_answers_without_end, IsCutOffInTheHead) {
  for (const char* head : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 ", "H"}) {
    const read_answer answer = CallAgainst(
        Endless(head, std::string("X-Filler: ") + std::string(4096, 'x') +
                          (head[0] == 'H' && head[1] == 0 ? "" : "\r\n")));
    EXPECT_EQ(answer.status, 502U);
    EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
  }
}

TEST_F(an_endpoint_that_answers_without_end, IsCutOffInInterimResponses) {
  std::string interim;
  for (int i = 0; i < 1024; ++i) {
    interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  const read_answer answer = CallAgainst(Endless("", interim));
  EXPECT_EQ(answer.status, 502U);
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
}

TEST_F(an_endpoint_that_answers_without_end, IsCutOffInChunkExtensions) {
  const read_answer answer = CallAgainst(
      Endless("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
              "1;" + std::string(4096, 'e') + "\r\nx\r\n"));
  EXPECT_EQ(answer.status, 502U);
}

// A hundred connections to a server that sends bodies without end.
class the_memory_of_responses : public testing::Test {
 protected:
  static constexpr int kConnections = 100;
  static constexpr std::size_t kMaxBytes = std::size_t{8} * 1024 * 1024;

  /// Requests one response on each connection and waits for the end of all.
  void RequestAll(scripted_server& server) {
    connection_pool pool(
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), server.port()),
        [this] { return connection_id(++last_id_); }, [](connection_id) {},
        memory_);
    for (int i = 0; i < kConnections; ++i) {
      client_request request;
      request.message = http_request_view(http::verb::get, "/", kHttp11);
      request.message.set(http::field::host, "test");
      request.on_finished = [this](const client_result& result) {
        ended_.push_back(result.error);
      };
      pool.Send(std::move(request));
    }
    while (ended_.size() < kConnections) {
      io_.run_one();
    }
  }

  asio::io_context io_;
  body_memory memory_{kMaxBytes};
  std::uint64_t last_id_ = 0;
  std::vector<std::optional<error_kind>> ended_;
};

TEST_F(the_memory_of_responses, IsBoundedOverAllConnections) {
  scripted_server server(Endless(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Chunks()));
  RequestAll(server);
  for (const std::optional<error_kind>& error : ended_) {
    EXPECT_EQ(error, error_kind::kAnswerTooLarge);
  }
  EXPECT_GT(memory_.peak_bytes(), 0U);
  EXPECT_LE(memory_.peak_bytes(), kMaxBytes);
  EXPECT_EQ(memory_.used_bytes(), 0U);
}

TEST_F(the_memory_of_responses, IsReleasedAfterCompleteResponses) {
  scripted_server server(AnswersWith(std::string(10'000, 'x')));
  RequestAll(server);
  for (const std::optional<error_kind>& error : ended_) {
    EXPECT_FALSE(error);
  }
  EXPECT_EQ(memory_.used_bytes(), 0U);
}

}  // namespace
}  // namespace auburnfold::testing_support
