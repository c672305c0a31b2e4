#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "LibRuntime/Connections/message_parser.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

// Guards against a request out of the body of another (UNASKED): the parser
// took a message whose length cannot be told (RFC 9112, section 6.3) for one
// without a body.

namespace auburnfold::testing_support {
namespace {

/// What stands behind the start line and the ordinary fields of a message.
struct framing {
  const char* name;
  /// Lines of the header, each with its end.
  std::string fields;
  std::string body;
  const char* version = "HTTP/1.1";
};

void PrintTo(const framing& framing, std::ostream* out) {
  *out << framing.name;
}

std::string NameOf(const testing::TestParamInfo<framing>& tested) {
  return tested.param.name;
}

/// Looks like a request of its own to whoever takes the one around it for
/// complete.
std::string HiddenRequest() {
  return CallText("listings");
}

std::string Chunk(const std::string& body) {
  std::array<char, 32> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
  return size.data() + body + "\r\n";
}

std::string Chunked(const std::string& body) {
  return Chunk(body) + "0\r\n\r\n";
}

std::string CodedAs(const std::string& codings) {
  return "Transfer-Encoding: " + codings + "\r\n";
}

/// Their end cannot be told, or not by all recipients in the same way.
std::vector<framing> RejectedFramings() {
  const std::string hidden = HiddenRequest();
  const std::string chunked = CodedAs("chunked");
  const std::string ten = "Content-Length: 10\r\n";
  return {
      {"coding_that_is_not_chunked", CodedAs("gzip"), hidden},
      {"identity_coding", CodedAs("identity"), hidden},
      {"chunked_before_another_coding", CodedAs("chunked, gzip"), hidden},
      {"chunked_and_another_in_two_fields", chunked + CodedAs("gzip"), hidden},
      {"another_and_chunked_in_two_fields", CodedAs("gzip") + chunked,
       Chunked(hidden)},
      {"chunked_behind_another_coding", CodedAs("gzip, chunked"),
       Chunked(hidden)},
      {"chunked_twice", CodedAs("chunked, chunked"), Chunked(hidden)},
      {"chunked_twice_in_two_fields", chunked + chunked, Chunked(hidden)},
      {"chunked_with_a_parameter", CodedAs("chunked;q=1"), Chunked(hidden)},
      {"chunked_and_another_word", CodedAs("chunked gzip"), Chunked(hidden)},
      {"chunked_in_quotes", CodedAs("\"chunked\""), Chunked(hidden)},
      {"chunked_misspelt", CodedAs("xchunked"), hidden},
      {"no_coding", CodedAs(""), hidden},
      {"an_empty_list_of_codings", CodedAs(","), hidden},
      {"chunked_in_http_1_0", chunked, Chunked(hidden), "HTTP/1.0"},
      {"a_length_before_chunked", ten + chunked, Chunked(hidden)},
      {"a_length_behind_chunked", chunked + ten, Chunked(hidden)},
      {"a_length_beside_another_coding", ten + CodedAs("gzip"), hidden},
      {"no_length_beside_another_coding",
       "Content-Length: 0\r\n" + CodedAs("x"), hidden},
      {"two_unequal_lengths", ten + "Content-Length: 11\r\n", hidden},
      {"two_unequal_lengths_in_a_list", "Content-Length: 10, 11\r\n", hidden},
      {"a_list_with_an_odd_length", "Content-Length: 10, x\r\n", hidden},
      {"an_empty_length", "Content-Length: \r\n", hidden},
      {"a_negative_length", "Content-Length: -1\r\n", hidden},
      {"a_length_with_a_plus", "Content-Length: +10\r\n", hidden},
      {"a_hexadecimal_length", "Content-Length: 0x10\r\n", hidden},
      {"a_length_with_a_space", "Content-Length: 1 0\r\n", hidden},
      {"a_length_beyond_64_bits", "Content-Length: 18446744073709551617\r\n",
       hidden},
      {"a_folded_coding", "Transfer-Encoding:\r\n chunked\r\n",
       Chunked(hidden)},
      {"a_folded_length", "Content-Length:\r\n\t10\r\n", hidden},
      {"a_folded_field", "X-Folded: a\r\n b\r\n", ""},
      {"a_line_of_white_space", "X-Field: a\r\n \r\n", ""},
      {"a_line_feed_without_carriage_return", "X-Field: a\nX-Other: b\r\n", ""},
      {"a_coding_behind_a_bare_line_feed",
       "X-Field: a\nTransfer-Encoding: chunked\r\n", Chunked(hidden)},
      {"a_carriage_return_without_line_feed", "X-Field: a\rX-Other: b\r\n", ""},
      {"a_carriage_return_before_the_end", "X-Field: a\r\r\n", ""},
      {"white_space_before_the_colon", "Content-Length : 10\r\n", hidden},
      {"a_tab_before_the_colon_of_a_coding", "Transfer-Encoding\t: chunked\r\n",
       Chunked(hidden)},
      {"a_field_without_a_name", ": 10\r\n", ""},
      {"a_zero_byte_in_a_value", std::string("X-Field: a\0b\r\n", 14), ""},
      {"a_chunk_without_a_size", chunked, "\r\nabc\r\n0\r\n\r\n"},
      {"a_chunk_with_a_negative_size", chunked, "-1\r\n\r\n0\r\n\r\n"},
      {"a_chunk_with_a_prefixed_size", chunked, "0x3\r\nabc\r\n0\r\n\r\n"},
      {"a_chunk_beyond_64_bits", chunked,
       "10000000000000003\r\nabc\r\n0\r\n\r\n"},
      {"a_chunk_that_is_longer_than_its_size", chunked,
       "2\r\nabc\r\n0\r\n\r\n"},
      {"a_chunk_size_that_ends_with_a_line_feed", chunked,
       "3\nabc\r\n0\r\n\r\n"},
      {"a_chunk_extension_with_a_bare_line_feed", chunked,
       "3;a\n\r\nabc\r\n0\r\n\r\n"},
      {"a_chunk_extension_with_a_bare_carriage_return", chunked,
       "3;a\rb\r\nabc\r\n0\r\n\r\n"},
      {"a_trailer_with_a_coding", chunked,
       "3\r\nabc\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"},
      {"a_trailer_with_a_length", chunked,
       "3\r\nabc\r\n0\r\nContent-Length: 10\r\n\r\n"},
      {"a_trailer_without_a_colon", chunked, "3\r\nabc\r\n0\r\nabc\r\n\r\n"},
  };
}

/// Each has the body "abc".
std::vector<framing> ServedFramings() {
  const std::string three = "Content-Length: 3\r\n";
  return {
      {"a_length", three, "abc"},
      {"a_length_with_leading_zeros", "Content-Length: 003\r\n", "abc"},
      {"two_equal_lengths", three + three, "abc"},
      {"two_equal_lengths_in_a_list", "Content-Length: 3, 3\r\n", "abc"},
      {"chunked", CodedAs("chunked"), Chunked("abc")},
      {"chunked_in_any_case", CodedAs("ChunKED"), Chunked("abc")},
      {"chunked_in_a_list_with_empty_elements", CodedAs(", chunked ,"),
       Chunked("abc")},
      {"several_chunks", CodedAs("chunked"),
       "1\r\na\r\n0002\r\nbc\r\n000\r\n\r\n"},
      {"chunk_extensions", CodedAs("chunked"),
       "3;name=value;other=\"a; b\"\r\nabc\r\n0;last\r\n\r\n"},
      {"trailers", CodedAs("chunked"),
       "3\r\nabc\r\n0\r\nX-Field: trailer\r\nX-Other: trailer\r\n\r\n"},
  };
}

/// What a parser makes of the first message of a connection.
struct parse_result {
  bool is_whole = false;
  bool is_rejected = false;
  std::string body;
  bool operator==(const parse_result&) const = default;
};

void PrintTo(const parse_result& result, std::ostream* out) {
  *out << (result.is_whole ? "whole " : "")
       << (result.is_rejected ? "rejected " : "") << result.body;
}

template <typename parser_type>
parse_result ParseSegments(const std::vector<std::string_view>& segments) {
  parser_type parser;
  parser.eager(true);
  beast::flat_buffer buffer;
  for (const std::string_view segment : segments) {
    buffer.commit(asio::buffer_copy(buffer.prepare(segment.size()),
                                    asio::buffer(segment)));
    error_code error;
    if (buffer.size() > 0 && !parser.is_done()) {
      buffer.consume(parser.Parse(buffer.data(), error));
    }
    if (error && error != http::error::need_more) {
      return {.is_rejected = true};
    }
  }
  return {.is_whole = parser.is_done(), .body = parser.get().body()};
}

/// As `ParseSegments` of the whole text, which is the same for every two
/// segments of it.
template <typename parser_type>
parse_result ParseCutAnywhere(const std::string& text) {
  parse_result whole = ParseSegments<parser_type>({text});
  const std::string_view view = text;
  for (std::size_t cut = 1; cut < text.size(); ++cut) {
    const parse_result in_two =
        ParseSegments<parser_type>({view.substr(0, cut), view.substr(cut)});
    EXPECT_EQ(in_two, whole) << "cut at " << cut;
  }
  std::vector<std::string_view> bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    bytes.push_back(view.substr(i, 1));
  }
  EXPECT_EQ(ParseSegments<parser_type>(bytes), whole);
  return whole;
}

std::string RequestHead(const framing& framing, const std::string& extra) {
  return std::string("POST /call ") + framing.version +
         "\r\nHost: test\r\nAuburnfold-Service: listings\r\n"
         "Auburnfold-Class: lookup\r\nAuburnfold-Timeout-Ms: 30000\r\n" +
         extra;
}

std::string RequestText(const framing& framing, const std::string& extra = {}) {
  return RequestHead(framing, extra) + framing.fields + "\r\n" + framing.body;
}

std::string ResponseText(const framing& framing) {
  return std::string(framing.version) + " 200 OK\r\n" + framing.fields +
         "\r\n" + framing.body;
}

/// An endpoint that keeps the requests that it gets.
class recording_endpoint {
 public:
  std::uint16_t port() const { return server_.port(); }
  std::vector<std::string> requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> requests_;
  scripted_server server_{[this](scripted_connection& connection) {
    while (auto request = connection.ReadRequest()) {
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(*std::move(request));
      }
      connection.Write(AnswerText("whole"));
    }
  }};
};

class a_node_between : public testing::TestWithParam<framing> {
 protected:
  /// Sends `text` in segments that meet `cut` bytes behind its beginning.
  static void ExpectRejected(std::uint16_t port,
                             const std::string& text,
                             std::size_t cut) {
    raw_client client(port);
    client.Write(text.substr(0, cut));
    client.WaitUntilReceived();
    client.Write(text.substr(cut));
    const auto answer = client.Read();
    ASSERT_TRUE(answer) << "cut at " << cut;
    EXPECT_EQ(answer->status, 400U) << "cut at " << cut;
    EXPECT_EQ(answer->Header("Auburnfold-Ran"), "not-run");
    EXPECT_EQ(answer->Header("Connection"), "close");
    EXPECT_TRUE(client.ReadsEnd()) << "cut at " << cut;
  }

  running_node node_;
};

class a_request_without_a_certain_end : public a_node_between {
 protected:
  a_request_without_a_certain_end() {
    node_.Announce("listings", endpoint_.port());
  }

  void ExpectRejectedAtEveryCut(std::uint16_t port, const std::string& extra) {
    const std::string text = RequestText(GetParam(), extra);
    const std::size_t first = RequestHead(GetParam(), extra).size();
    const std::size_t last = std::min(
        text.size(), first + GetParam().fields.size() + std::size_t{24});
    for (std::size_t cut = first; cut < last; ++cut) {
      ExpectRejected(port, text, cut);
    }
    EXPECT_EQ(endpoint_.requests().size(), 0U);
  }

  recording_endpoint endpoint_;
};

TEST_P(a_request_without_a_certain_end, IsRejectedFromACaller) {
  ExpectRejectedAtEveryCut(node_.call_port(), {});
}

TEST_P(a_request_without_a_certain_end, IsRejectedFromANode) {
  ExpectRejectedAtEveryCut(node_.peer_port(), node_.ForwardedHeaders());
}

// The requests before it on its connection are answered.
TEST_P(a_request_without_a_certain_end, IsRejectedBehindAnother) {
  raw_client client(node_.call_port());
  client.Write(CallText("listings") + RequestText(GetParam()));
  EXPECT_EQ(client.Read()->status, 200U);
  const auto rejected = client.Read();
  ASSERT_TRUE(rejected);
  EXPECT_EQ(rejected->status, 400U);
  EXPECT_TRUE(client.ReadsEnd());
  EXPECT_EQ(endpoint_.requests().size(), 1U);
}

TEST_P(a_request_without_a_certain_end, IsRejectedWhereverItIsCut) {
  EXPECT_TRUE(
      ParseCutAnywhere<request_parser>(RequestText(GetParam())).is_rejected);
}

INSTANTIATE_TEST_SUITE_P(With,
                         a_request_without_a_certain_end,
                         testing::ValuesIn(RejectedFramings()),
                         NameOf);

class an_answer_without_a_certain_end : public a_node_between {
 protected:
  /// The answer comes whole, and its connection stays open.
  void ExpectFailed(bool is_from_node) {
    scripted_server server([](scripted_connection& connection) {
      while (connection.ReadRequest()) {
        connection.Write(ResponseText(GetParam()));
      }
    });
    if (is_from_node) {
      node_.AnnouncePeer("listings", server.port());
    } else {
      node_.Announce("listings", server.port());
    }
    const read_answer answer =
        raw_client::Exchange(node_.call_port(), CallText("listings"));
    EXPECT_EQ(answer.status, 502U);
    EXPECT_EQ(answer.Header("Auburnfold-Result"), "answer-truncated");
    EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
  }
};

TEST_P(an_answer_without_a_certain_end, IsRejectedFromAnEndpoint) {
  ExpectFailed(false);
}

TEST_P(an_answer_without_a_certain_end, IsRejectedFromANode) {
  ExpectFailed(true);
}

TEST_P(an_answer_without_a_certain_end, IsRejectedWhereverItIsCut) {
  EXPECT_TRUE(
      ParseCutAnywhere<response_parser>(ResponseText(GetParam())).is_rejected);
}

INSTANTIATE_TEST_SUITE_P(With,
                         an_answer_without_a_certain_end,
                         testing::ValuesIn(RejectedFramings()),
                         NameOf);

class a_message_with_a_certain_end : public a_node_between {};

TEST_P(a_message_with_a_certain_end, IsServedWithItsBody) {
  recording_endpoint endpoint;
  node_.Announce("listings", endpoint.port());
  raw_client client(node_.call_port());
  client.Write(RequestText(GetParam()) + CallText("listings"));
  EXPECT_EQ(client.Read()->status, 200U);
  EXPECT_EQ(client.Read()->status, 200U);
  const std::vector<std::string> requests = endpoint.requests();
  ASSERT_EQ(requests.size(), 2U);
  EXPECT_TRUE(requests.front().ends_with("\r\n\r\nabc"));
}

TEST_P(a_message_with_a_certain_end, IsRelayedToTheCaller) {
  scripted_server endpoint([](scripted_connection& connection) {
    while (connection.ReadRequest()) {
      connection.Write(ResponseText(GetParam()));
    }
  });
  node_.Announce("listings", endpoint.port());
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("listings"));
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "abc");
  EXPECT_EQ(answer.Header("X-Other"), "");
}

TEST_P(a_message_with_a_certain_end, IsReadWhereverItIsCut) {
  const parse_result expected{.is_whole = true, .body = "abc"};
  EXPECT_EQ(ParseCutAnywhere<request_parser>(RequestText(GetParam())),
            expected);
  EXPECT_EQ(ParseCutAnywhere<response_parser>(ResponseText(GetParam())),
            expected);
}

INSTANTIATE_TEST_SUITE_P(With,
                         a_message_with_a_certain_end,
                         testing::ValuesIn(ServedFramings()),
                         NameOf);

// A field in a trailer would be one of the header: a service, a key, a
// deadline.
TEST(a_trailer, IsNoPartOfTheHeader) {
  const framing with_trailer{
      "", CodedAs("chunked"),
      "3\r\nabc\r\n0\r\nX-Field: trailer\r\nHost: other\r\n\r\n"};
  request_parser parser;
  parser.eager(true);
  error_code error;
  parser.Parse(asio::buffer(RequestText(with_trailer)), error);
  ASSERT_TRUE(parser.is_done());
  EXPECT_EQ(parser.get()[http::field::host], "test");
  EXPECT_EQ(parser.get().count("X-Field"), 0U);
  EXPECT_EQ(parser.get().count(http::field::host), 1U);
}

// Guards against a caller that waited for its answer until the connection timed
// out: Beast's parser waited for more of a start line whose header was
// complete.
class a_start_line_that_is_too_short : public a_node_between {};

TEST_F(a_start_line_that_is_too_short, IsRejectedOnceTheHeaderIsComplete) {
  EXPECT_EQ(raw_client::Exchange(node_.call_port(), "GET /b H\r\n\r\n").status,
            400U);
}

TEST_F(a_start_line_that_is_too_short, IsRejectedWhereverItIsCut) {
  const std::string text = "GET /b H\r\n\r\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    request_parser parser;
    parser.eager(true);
    error_code error;
    std::string unused = text.substr(0, cut);
    unused.erase(0, parser.Parse(asio::buffer(unused), error));
    if (error == http::error::need_more) {
      unused += text.substr(cut);
      parser.Parse(asio::buffer(unused), error);
    }
    EXPECT_EQ(error, http::error::bad_version) << cut;
  }
}

// Its length does not depend on its fields (RFC 9112, section 6.3).
TEST(an_answer_without_a_body, MayNameACoding) {
  for (const char* status : {"204 No Content", "304 Not Modified"}) {
    EXPECT_TRUE(ParseSegments<response_parser>(
                    {std::string("HTTP/1.1 ") + status +
                     "\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"})
                    .is_whole)
        << status;
  }
}

}  // namespace
}  // namespace auburnfold::testing_support
