#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "LibRuntime/Connections/connection_pool.h"
#include "LibRuntime/Requests/own_dialect.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

constexpr std::chrono::seconds kPatience{30};
constexpr std::string_view kCutHeader = "X-Cut: ";

enum class ending : std::uint8_t { kOrderly, kReset };

/// What says where an answer ends.
enum class framing : std::uint8_t { kLength, kChunks, kConnection, kHead };

struct answer_form {
  std::string name;
  framing framed_by = framing::kLength;
  std::string head_line = "HTTP/1.1 200 OK\r\n";
  /// Header lines, each ended by CRLF.
  std::string headers;
  std::string method = "POST";
  std::string interim;
};

void PrintTo(const answer_form& form, std::ostream* out) {
  *out << form.name;
}

/// The bytes of an answer. The sent body differs from the body in chunks.
struct answer_bytes {
  std::string head;
  std::string sent_body;
  std::string body;

  std::string All() const { return head + sent_body; }

  /// What a caller may get of an answer that is cut after `cut` bytes; nothing
  /// if it must get an error.
  std::optional<std::string> WholeBody(framing framed_by,
                                       std::size_t cut,
                                       ending how,
                                       bool may_end_with_connection) const {
    if (cut < head.size()) {
      return std::nullopt;
    }
    if (framed_by == framing::kConnection) {
      const bool is_whole = may_end_with_connection && how == ending::kOrderly;
      return is_whole ? std::optional(sent_body.substr(0, cut - head.size()))
                      : std::nullopt;
    }
    return cut == head.size() + sent_body.size() ? std::optional(body)
                                                 : std::nullopt;
  }
};

answer_bytes BytesOf(const answer_form& form, const std::string& extra) {
  answer_bytes bytes;
  bytes.head = form.interim + form.head_line + extra + "X-Sign: 3e1b.07\r\n" +
               form.headers + "\r\n";
  switch (form.framed_by) {
    case framing::kLength:
    case framing::kConnection:
      bytes.body = bytes.sent_body = "0123456789ab";
      break;
    case framing::kChunks:
      bytes.body = "0123456789ab";
      bytes.sent_body = "5\r\n01234\r\n7\r\n56789ab\r\n0\r\n\r\n";
      break;
    case framing::kHead:
      break;
  }
  return bytes;
}

std::vector<answer_form> Forms() {
  const std::string length = "Content-Length: 12\r\n";
  const std::string chunks = "Transfer-Encoding: chunked\r\n";
  const std::string no_content = "HTTP/1.1 204 No Content\r\n";
  const std::string not_modified = "HTTP/1.1 304 Not Modified\r\n";
  std::vector<answer_form> forms{
      {.name = "with_a_length", .headers = length},
      {.name = "in_chunks", .framed_by = framing::kChunks, .headers = chunks},
      {.name = "without_a_length", .framed_by = framing::kConnection},
      {.name = "of_an_old_server",
       .framed_by = framing::kConnection,
       .head_line = "HTTP/1.0 200 OK\r\n"},
      {.name = "without_a_body",
       .framed_by = framing::kHead,
       .headers = "Content-Length: 0\r\n"},
      {.name = "to_head_with_a_length",
       .framed_by = framing::kHead,
       .headers = length,
       .method = "HEAD"},
      {.name = "to_head_without_a_length",
       .framed_by = framing::kHead,
       .method = "HEAD"},
      {.name = "to_head_in_chunks",
       .framed_by = framing::kHead,
       .headers = chunks,
       .method = "HEAD"},
      {.name = "without_content",
       .framed_by = framing::kHead,
       .head_line = no_content},
      {.name = "not_modified",
       .framed_by = framing::kHead,
       .head_line = not_modified,
       .headers = length},
  };
  const std::string early =
      "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n";
  for (std::size_t i = 0; i < 3; ++i) {
    answer_form form = forms[i];
    form.name += "_after_103";
    form.interim = early;
    forms.push_back(std::move(form));
  }
  forms.push_back({.name = "with_a_length_after_100",
                   .headers = length,
                   .interim = "HTTP/1.1 100 Continue\r\n\r\n"});
  return forms;
}

std::vector<answer_form> FormsThatEnd(framing framed_by) {
  std::vector<answer_form> forms = Forms();
  std::erase_if(forms, [framed_by](const answer_form& form) {
    return form.framed_by != framed_by;
  });
  return forms;
}

void Finish(scripted_connection& connection, ending how) {
  if (how == ending::kReset) {
    connection.Reset();
  }
}

// Requests over connections without a node.
class a_request : public testing::Test {
 protected:
  static client_request Get() {
    client_request request;
    request.message = http_request_view(http::verb::get, "/", kHttp11);
    request.message.set(http::field::host, "test");
    return request;
  }

  std::unique_ptr<connection_pool> PoolTo(const scripted_server& server) {
    return std::make_unique<connection_pool>(
        io_, tcp::endpoint(asio::ip::address_v4::loopback(), server.port()),
        [this] { return connection_id(++last_id_); }, [](connection_id) {},
        memory_);
  }

  /// Sends a request over each of `pools` and waits for the ends of all.
  std::vector<client_result> Exchange(
      const std::vector<std::unique_ptr<connection_pool>>& pools,
      const std::function<client_request(std::size_t number)>& make_request) {
    std::vector<client_result> results(pools.size());
    std::size_t open = pools.size();
    io_.restart();
    for (std::size_t i = 0; i < pools.size(); ++i) {
      client_request request = make_request(i);
      request.on_finished = [&open, &result = results[i]](client_result ended) {
        result = std::move(ended);
        --open;
      };
      pools[i]->Send(std::move(request));
    }
    while (open > 0 && io_.run_one_for(kPatience) > 0) {
    }
    EXPECT_EQ(open, 0U);
    return results;
  }

  asio::io_context io_;
  body_memory memory_{kMaxResponseMemoryBytes};
  std::uint64_t last_id_ = 0;
};

class gets_an_answer_that_is_cut
    : public a_request,
      public testing::WithParamInterface<answer_form> {
 protected:
  void CutAtEveryByte(ending how, bool is_kept) {
    const answer_bytes bytes = BytesOf(GetParam(), {});
    const std::string all = bytes.All();
    scripted_server server([&](scripted_connection& connection) {
      if (is_kept) {
        connection.ReadRequest();
        connection.Write(AnswerText("first"));
      }
      const std::string request = connection.ReadRequest().value_or("");
      const std::size_t target = request.find('/') + 1;
      connection.Write(all.substr(0, std::stoul(request.substr(target))));
      Finish(connection, how);
    });
    std::vector<std::unique_ptr<connection_pool>> pools;
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
      pools.push_back(PoolTo(server));
    }
    if (is_kept) {
      for (const client_result& first :
           Exchange(pools, [](std::size_t) { return Get(); })) {
        ASSERT_EQ(first.response.body(), "first");
      }
    }
    const std::vector<client_result> results =
        Exchange(pools, [](std::size_t cut) {
          client_request request = Get();
          request.message.method_string(GetParam().method);
          request.message.target("/" + std::to_string(cut));
          request.allows_close_delimited_response = true;
          return request;
        });
    for (std::size_t cut = 0; cut <= all.size(); ++cut) {
      SCOPED_TRACE(testing::PrintToString(all.substr(0, cut)));
      Expect(results[cut],
             bytes.WholeBody(GetParam().framed_by, cut, how, true));
    }
    // One connection for each.
    EXPECT_EQ(last_id_, all.size() + 1);
  }

  static void Expect(const client_result& result,
                     const std::optional<std::string>& whole_body) {
    if (whole_body) {
      EXPECT_FALSE(result.error);
      EXPECT_EQ(result.response["X-Sign"], "3e1b.07");
      EXPECT_EQ(result.response.body(), *whole_body);
      return;
    }
    EXPECT_TRUE(result.error == error_kind::kAnswerLost ||
                result.error == error_kind::kAnswerTruncated);
    EXPECT_EQ(result.execution, execution_state::kUnknown);
  }
};

TEST_P(gets_an_answer_that_is_cut, InOrderAndNeverTakesItForWhole) {
  CutAtEveryByte(ending::kOrderly, false);
}

TEST_P(gets_an_answer_that_is_cut, ByAResetAndNeverTakesItForWhole) {
  CutAtEveryByte(ending::kReset, false);
}

TEST_P(gets_an_answer_that_is_cut, OnAKeptConnectionInOrder) {
  CutAtEveryByte(ending::kOrderly, true);
}

TEST_P(gets_an_answer_that_is_cut, OnAKeptConnectionByAReset) {
  CutAtEveryByte(ending::kReset, true);
}

INSTANTIATE_TEST_SUITE_P(Every,
                         gets_an_answer_that_is_cut,
                         testing::ValuesIn(Forms()),
                         [](const auto& form) { return form.param.name; });

class gets_bytes_that_are_no_final_answer : public a_request {};

TEST_F(gets_bytes_that_are_no_final_answer, AndTakesThemForNoneAtTheEnd) {
  for (const char* bytes :
       {"HTTP/1.1 099 Odd\r\n\r\n", "HTTP/1.1 000 Odd\r\n\r\nbody",
        "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 099 Odd\r\n\r\n"}) {
    SCOPED_TRACE(bytes);
    scripted_server server([bytes](scripted_connection& connection) {
      connection.ReadRequest();
      connection.Write(bytes);
    });
    std::vector<std::unique_ptr<connection_pool>> pools;
    pools.push_back(PoolTo(server));
    const client_result result = Exchange(pools, [](std::size_t) {
      client_request request = Get();
      request.allows_close_delimited_response = true;
      return request;
    })[0];
    EXPECT_EQ(result.error, error_kind::kAnswerTruncated);
    EXPECT_EQ(result.execution, execution_state::kUnknown);
  }
}

/// Who answers the node that the caller called.
enum class place : std::uint8_t { kEndpoint, kOtherNode };

// Nodes, each with the server that it forwards to: its endpoint or another
// node. A node has one call at a time, so that none waits for others.
class a_call : public testing::TestWithParam<answer_form> {
 protected:
  // A node waits a little before it reports that its endpoint lost an answer.
  static constexpr std::size_t kNodesBesideEndpoints = 8;
  static constexpr std::size_t kNodesBeforeOthers = 4;

  struct forwarding {
    std::unique_ptr<scripted_server> server;
    std::unique_ptr<running_node> node;
  };

  void CutAtEveryByte(place from,
                      const any_wire_dialect& dialect,
                      bool may_end_with_connection) {
    const std::string extra =
        from == place::kOtherNode ? "Auburnfold-Result: complete\r\n" : "";
    const answer_bytes bytes = BytesOf(GetParam(), extra);
    const std::size_t cuts = bytes.All().size() + 1;
    Start(from, dialect, extra);
    for (const ending how : {ending::kOrderly, ending::kReset}) {
      on_kept_ = on_fresh_ = 0;
      for (std::size_t first = 0; first < cuts; first += nodes_.size()) {
        const bool is_kept = first / nodes_.size() % 2 == 0;
        const std::size_t end = std::min(first + nodes_.size(), cuts);
        const std::vector<read_answer> answers = Call(how, first, end, is_kept);
        for (std::size_t cut = first; cut < end; ++cut) {
          SCOPED_TRACE(testing::PrintToString(bytes.All().substr(0, cut)));
          Expect(answers[cut - first],
                 bytes.WholeBody(GetParam().framed_by, cut, how,
                                 may_end_with_connection));
        }
      }
      EXPECT_EQ(on_kept_ + on_fresh_, cuts);
      EXPECT_GT(on_kept_, 0U);
      EXPECT_GT(on_fresh_, 0U);
    }
  }

  void Start(place from,
             const any_wire_dialect& dialect,
             const std::string& extra) {
    const std::size_t nodes =
        from == place::kEndpoint ? kNodesBesideEndpoints : kNodesBeforeOthers;
    while (nodes_.size() < nodes) {
      forwarding& started = nodes_.emplace_back(forwarding{
          std::make_unique<scripted_server>(Cuts(extra)),
          std::make_unique<running_node>(LoopbackSettings(), dialect)});
      if (from == place::kOtherNode) {
        started.node->AnnouncePeer("listings", started.server->port());
      } else {
        started.node->Announce("listings", started.server->port());
      }
    }
  }

  /// `X-Cut` of a request says how many bytes of the answer it gets. Without
  /// it the request gets a whole answer on a connection that is kept.
  scripted_server::script Cuts(const std::string& extra) {
    return [this, extra, all = BytesOf(GetParam(), extra).All()](
               scripted_connection& connection) {
      bool is_kept = false;
      while (const auto request = connection.ReadRequest()) {
        const std::size_t cut = request->find(kCutHeader);
        if (cut == std::string::npos) {
          connection.Write(AnswerText("first", extra));
          is_kept = true;
          continue;
        }
        ++(is_kept ? on_kept_ : on_fresh_);
        connection.Write(all.substr(
            0, std::stoul(request->substr(cut + kCutHeader.size()))));
        return Finish(connection, request->find("X-Reset") == std::string::npos
                                      ? ending::kOrderly
                                      : ending::kReset);
      }
    };
  }

  /// Makes a call for each cut from `first` to before `end`, through a node
  /// each.
  std::vector<read_answer> Call(ending how,
                                std::size_t first,
                                std::size_t end,
                                bool is_kept) {
    std::vector<std::unique_ptr<raw_client>> callers;
    for (std::size_t cut = first; cut < end; ++cut) {
      const running_node& node = *nodes_[cut - first].node;
      while (
          is_kept &&
          raw_client::Exchange(node.call_port(), CallText("listings")).body !=
              "first") {
      }
      std::string call = CallText(
          "listings", std::string(kCutHeader) + std::to_string(cut) + "\r\n" +
                          (how == ending::kReset ? "X-Reset: 1\r\n" : ""));
      call.replace(0, call.find(' '), GetParam().method);
      callers.push_back(std::make_unique<raw_client>(node.call_port()));
      callers.back()->Write(call);
    }
    std::vector<read_answer> answers;
    answers.reserve(callers.size());
    for (const std::unique_ptr<raw_client>& caller : callers) {
      answers.push_back(
          caller->Read(GetParam().method == "HEAD").value_or(read_answer{}));
    }
    return answers;
  }

  static void Expect(const read_answer& answer,
                     const std::optional<std::string>& whole_body) {
    if (whole_body) {
      EXPECT_EQ(std::to_string(answer.status),
                GetParam().head_line.substr(9, 3));
      EXPECT_EQ(answer.Header("Auburnfold-Result"), "complete");
      EXPECT_EQ(answer.Header("X-Sign"), "3e1b.07");
      EXPECT_EQ(answer.body, *whole_body);
      return;
    }
    EXPECT_EQ(answer.status, 502);
    EXPECT_TRUE(answer.Header("Auburnfold-Result") == "answer-lost" ||
                answer.Header("Auburnfold-Result") == "answer-truncated");
    EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
  }

  std::atomic<std::size_t> on_kept_ = 0;
  std::atomic<std::size_t> on_fresh_ = 0;
  std::vector<forwarding> nodes_;
};

class whose_endpoint_cuts_its_answer : public a_call {};

TEST_P(whose_endpoint_cuts_its_answer, NeverGetsItAsWhole) {
  CutAtEveryByte(place::kEndpoint, any_wire_dialect(dialect_of_open_ends()),
                 true);
}

INSTANTIATE_TEST_SUITE_P(Every,
                         whose_endpoint_cuts_its_answer,
                         testing::ValuesIn(Forms()),
                         [](const auto& form) { return form.param.name; });

class whose_endpoint_ends_it_with_its_connection : public a_call {};

TEST_P(whose_endpoint_ends_it_with_its_connection, GetsNoneThatHasNoLength) {
  CutAtEveryByte(place::kEndpoint, any_wire_dialect(own_dialect()), false);
}

INSTANTIATE_TEST_SUITE_P(Every,
                         whose_endpoint_ends_it_with_its_connection,
                         testing::ValuesIn(FormsThatEnd(framing::kConnection)),
                         [](const auto& form) { return form.param.name; });

class whose_other_node_cuts_its_answer : public a_call {};

// Nodes always state a length, whatever the endpoint's dialect allows.
TEST_P(whose_other_node_cuts_its_answer, NeverGetsItAsWhole) {
  CutAtEveryByte(place::kOtherNode, any_wire_dialect(dialect_of_open_ends()),
                 false);
}

INSTANTIATE_TEST_SUITE_P(Every,
                         whose_other_node_cuts_its_answer,
                         testing::ValuesIn(Forms()),
                         [](const auto& form) { return form.param.name; });

}  // namespace
}  // namespace auburnfold::testing_support
