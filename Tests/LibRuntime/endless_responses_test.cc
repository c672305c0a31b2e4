#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <ostream>
#include <string>
#include <thread>
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

/// Bytes that never become an answer.
struct endless_form {
  const char* name;
  std::string head;
  std::string part;
};

void PrintTo(const endless_form& form, std::ostream* out) {
  *out << form.name;
}

std::vector<endless_form> EndlessForms() {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string text(4096, 'x');
  std::string small_chunks;
  std::string interim;
  std::string empty_lines;
  for (int i = 0; i < 1024; ++i) {
    small_chunks += "1\r\nx\r\n";
    interim += "HTTP/1.1 100 Continue\r\n\r\n";
    empty_lines += "\r\n";
  }
  return {
      {"garbage", "", text},
      {"empty_lines", "", empty_lines},
      {"a_reason", "HTTP/1.1 200 ", text},
      {"a_header_line", "HTTP/1.1 200 OK\r\nX-Filler: ", text},
      {"header_lines", "HTTP/1.1 200 OK\r\n", "X-Filler: " + text + "\r\n"},
      {"a_body_in_small_chunks", chunked, small_chunks},
      {"a_chunk_size", chunked, text},
      {"a_chunk_extension", chunked + "1;", text},
      {"a_trailer", chunked + "0\r\nX-Filler: ", text},
      {"trailers", chunked + "0\r\n", "X-Filler: " + text + "\r\n"},
      {"a_body_with_a_length",
       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", text},
      {"a_body_without_a_length", "HTTP/1.1 200 OK\r\n\r\n", text},
      {"interim_responses", "", interim},
      {"interim_responses_with_long_headers", "",
       "HTTP/1.1 103 Early Hints\r\nX-Filler: " + text + "\r\n\r\n"},
  };
}

// Guards against a node that keeps such bytes until it runs out of memory
// (LOST).
class bytes_without_end : public testing::TestWithParam<endless_form> {
 protected:
  scripted_server::script Script(const std::string& before = {}) const {
    return Endless(before + GetParam().head, GetParam().part);
  }
  static void ExpectNoAnswer(const read_answer& answer) {
    EXPECT_EQ(answer.status, 502U);
    EXPECT_NE(answer.Header("Auburnfold-Ran"), "not-run");
  }
};

TEST_P(bytes_without_end, OfAnEndpointEndTheCall) {
  scripted_server endpoint(Script());
  running_node node(LoopbackSettings(),
                    any_wire_dialect(dialect_of_open_ends()));
  node.Announce("listings", endpoint.port());
  ExpectNoAnswer(raw_client::Exchange(node.call_port(), CallText("listings")));
}

TEST_P(bytes_without_end, OfAnotherNodeEndTheCall) {
  scripted_server peer(Script());
  running_node node;
  node.AnnouncePeer("listings", peer.port());
  ExpectNoAnswer(raw_client::Exchange(node.call_port(), CallText("listings")));
}

TEST_P(bytes_without_end, BehindAnAnswerLeaveItWhole) {
  scripted_server endpoint(Script(AnswerText("whole")));
  running_node node;
  node.Announce("listings", endpoint.port());
  const read_answer answer =
      raw_client::Exchange(node.call_port(), CallText("listings"));
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "whole");
}

TEST_P(bytes_without_end, OnManyConnectionsLeaveOtherCallsServed) {
  constexpr int kCalls = 100;
  scripted_server endpoint(AnswersWith("whole"));
  scripted_server peer(Script());
  running_node node;
  node.Announce("listings", endpoint.port());
  node.AnnouncePeer("packs", peer.port());
  std::vector<std::unique_ptr<raw_client>> clients;
  for (int i = 0; i < kCalls; ++i) {
    clients.push_back(std::make_unique<raw_client>(node.call_port()));
    clients.back()->Write(CallText("packs"));
  }
  EXPECT_EQ(raw_client::Exchange(node.call_port(), CallText("listings")).body,
            "whole");
  for (const auto& client : clients) {
    const auto answer = client->Read();
    ASSERT_TRUE(answer);
    EXPECT_NE(answer->status, 200U);
  }
}

INSTANTIATE_TEST_SUITE_P(Every,
                         bytes_without_end,
                         testing::ValuesIn(EndlessForms()),
                         [](const auto& form) { return form.param.name; });

class interim_responses : public an_endpoint_that_answers_without_end {
 protected:
  read_answer CallWithInterim(int count) {
    std::string bytes;
    for (int i = 0; i < count; ++i) {
      bytes += "HTTP/1.1 102 Processing\r\n\r\n";
    }
    return CallAgainst([bytes](scripted_connection& connection) {
      connection.ReadRequest();
      connection.Write(bytes + AnswerText("whole"));
    });
  }
};

TEST_F(interim_responses, MayPrecedeTheAnswer) {
  EXPECT_EQ(CallWithInterim(1000).body, "whole");
}

// Guards against nodes that spend their time on interim responses: those of 200
// calls kept a node busy for seconds.
TEST_F(interim_responses, EndTheCallIfThereAreTooMany) {
  EXPECT_EQ(CallWithInterim(1001).Header("Auburnfold-Result"),
            "answer-too-large");
}

// An answer that comes byte by byte ends with its deadline.
TEST(slow_bytes_without_end, LeaveOtherCallsServed) {
  constexpr int kCalls = 100;
  scripted_server endpoint(AnswersWith("whole"));
  scripted_server peer([](scripted_connection& connection) {
    connection.ReadRequest();
    connection.Write("HTTP/1.1 200 OK\r\nX-Filler: ");
    while (connection.Write("x")) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  });
  running_node node;
  node.Announce("listings", endpoint.port());
  node.AnnouncePeer("packs", peer.port());
  std::vector<std::unique_ptr<raw_client>> clients;
  for (int i = 0; i < kCalls; ++i) {
    clients.push_back(std::make_unique<raw_client>(node.call_port()));
    clients.back()->Write(CallText("packs", "Auburnfold-Timeout-Ms: 1000\r\n"));
  }
  EXPECT_EQ(raw_client::Exchange(node.call_port(), CallText("listings")).body,
            "whole");
  for (const auto& client : clients) {
    const auto answer = client->Read();
    ASSERT_TRUE(answer);
    EXPECT_NE(answer->status, 200U);
  }
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
    io_.restart();
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

// All requests of a node but those to the store use such pools: calls, work,
// health probes, views, quotas and queries.
TEST_F(the_memory_of_responses, IsBoundedForAllBytesWithoutEnd) {
  for (const endless_form& form : EndlessForms()) {
    SCOPED_TRACE(form.name);
    scripted_server server(Endless(form.head, form.part));
    ended_.clear();
    RequestAll(server);
    for (const std::optional<error_kind>& error : ended_) {
      EXPECT_TRUE(error);
    }
    EXPECT_LE(memory_.peak_bytes(), kMaxBytes);
    EXPECT_EQ(memory_.used_bytes(), 0U);
  }
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
