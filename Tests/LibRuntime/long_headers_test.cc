#include <gtest/gtest.h>

#include <cstddef>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibRuntime/Connections/http_types.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

// Guards against a header within the configured limit that ended the node, with
// all requests at work (LOST): Beast's fields throw at a value of 64 KiB.

namespace auburnfold::testing_support {
namespace {

constexpr std::uint32_t kConfiguredBytes = 256 * 1024;

/// Text without a repetition at any power of two.
std::string LongText(std::size_t size) {
  std::string text;
  text.reserve(size + 8);
  for (std::size_t i = 0; text.size() < size; ++i) {
    text += std::to_string(i * 7919);
    text += ' ';
  }
  text.resize(size - 1);
  return text + 'z';
}

/// Answers each request with 200, and keeps its start line and headers.
class recording_endpoint {
 public:
  std::string LastHeader() { return received_.get_future().get(); }
  std::uint16_t port() const { return server_.port(); }

 private:
  std::promise<std::string> received_;
  scripted_server server_{[this](scripted_connection& connection) {
    if (auto header = connection.ReadHeader()) {
      received_.set_value(*std::move(header));
      connection.Write(AnswerText("whole"));
    }
  }};
};

class a_node_with_a_large_header_limit : public testing::Test {
 protected:
  running_node node_{caller_limits{.header_bytes = kConfiguredBytes}};
};

class a_long_field : public a_node_with_a_large_header_limit,
                     public testing::WithParamInterface<std::size_t> {
 protected:
  /// The line reaches the endpoint as it was sent, past both hops.
  void ExpectServed(const std::string& line) {
    recording_endpoint endpoint;
    node_.Announce("listings", endpoint.port());
    const read_answer answer = raw_client::Exchange(
        node_.call_port(),
        CallText("listings", line + "\r\nX-Behind: yes\r\n"));
    ASSERT_EQ(answer.status, 200U);
    const std::string header = endpoint.LastHeader();
    EXPECT_NE(header.find("\r\n" + line + "\r\n"), std::string::npos);
    EXPECT_NE(header.find("\r\nX-Behind: yes\r\n"), std::string::npos);
  }
};

TEST_P(a_long_field, IsServedWhole) {
  ExpectServed("Cookie: " + LongText(GetParam()));
}

TEST_P(a_long_field, IsServedWithItsLongName) {
  ExpectServed(std::string(GetParam(), 'n') + ": value");
}

TEST_P(a_long_field, IsServedWithWhiteSpaceInside) {
  ExpectServed("X-Spaces: a" + std::string(GetParam() / 8, ' ') +
               LongText(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Around,
                         a_long_field,
                         testing::Values(60 * 1024 - 1,
                                         60 * 1024,
                                         60 * 1024 + 1,
                                         65'533,
                                         65'534,
                                         65'536,
                                         70'000,
                                         2 * 60 * 1024 + 1,
                                         200'000));

class a_long_header : public a_node_with_a_large_header_limit {};

TEST_F(a_long_header, IsServedWithItsLongTarget) {
  recording_endpoint endpoint;
  node_.Announce("listings", endpoint.port());
  const std::string target = "/" + std::string(100'000, 't');
  std::string call = CallText("listings");
  call.replace(call.find("/call"), 5, target);
  EXPECT_EQ(raw_client::Exchange(node_.call_port(), call).status, 200U);
  EXPECT_TRUE(endpoint.LastHeader().starts_with("POST " + target + " HTTP"));
}

TEST_F(a_long_header, IsServedInManyFields) {
  recording_endpoint endpoint;
  node_.Announce("listings", endpoint.port());
  std::string fields;
  for (int i = 0; i < 200; ++i) {
    fields += "X-Field: " + std::to_string(i) + std::string(1000, 'f') + "\r\n";
  }
  EXPECT_EQ(
      raw_client::Exchange(node_.call_port(), CallText("listings", fields))
          .status,
      200U);
  EXPECT_NE(endpoint.LastHeader().find(fields), std::string::npos);
}

// An answer fits with what its node adds to it.
TEST_F(a_long_header, OfAnAnswerIsRelayedByBothHops) {
  const std::string value(kMaxHeaderBytes - 100, 'v');
  scripted_server endpoint([&value](scripted_connection& connection) {
    connection.ReadHeader();
    connection.Write(AnswerText("whole", "X-Long: " + value + "\r\n"));
  });
  node_.Announce("listings", endpoint.port());
  const read_answer answer =
      raw_client::Exchange(node_.call_port(), CallText("listings"));
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.Header("X-Long"), value);
}

/// Requests of other callers are at work while a header is refused.
class a_header_that_is_refused : public testing::Test {
 protected:
  a_header_that_is_refused() {
    node_.Announce("slow", slow_.port());
    for (int i = 0; i < 4; ++i) {
      others_.push_back(std::make_unique<raw_client>(node_.call_port()));
      others_.back()->Write(CallText("slow"));
    }
    node_.WaitForMetric("auburnfold_work_started_total", 4);
  }
  ~a_header_that_is_refused() override { Release(); }

  void Release() {
    if (!std::exchange(is_released_, true)) {
      released_.set_value();
    }
  }

  void ExpectOthersAnswered() {
    Release();
    for (const std::unique_ptr<raw_client>& other : others_) {
      const std::optional<read_answer> answer = other->Read();
      EXPECT_TRUE(answer && answer->status == 200U);
    }
  }

  void ExpectRefused(std::string_view bytes,
                     unsigned status,
                     std::string_view kind) {
    raw_client client(node_.call_port());
    client.Write(bytes);
    const std::optional<read_answer> answer = client.Read();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, status);
    EXPECT_EQ(answer->Header("Auburnfold-Result"), kind);
    EXPECT_EQ(answer->Header("Auburnfold-Ran"), "not-run");
    EXPECT_EQ(answer->Header("Connection"), "close");
  }

  std::promise<void> released_;
  std::shared_future<void> release_ = released_.get_future().share();
  bool is_released_ = false;
  scripted_server slow_{[release = release_](scripted_connection& connection) {
    while (connection.ReadHeader()) {
      release.wait();
      connection.Write(AnswerText("whole"));
    }
  }};
  running_node node_{caller_limits{.header_bytes = kConfiguredBytes}};
  std::vector<std::unique_ptr<raw_client>> others_;
};

TEST_F(a_header_that_is_refused, BeyondTheLimitEndsItsConnectionOnly) {
  ExpectRefused(
      CallText("slow", "X-Long: " + LongText(kConfiguredBytes) + "\r\n"), 431,
      "header-too-large");
  ExpectOthersAnswered();
}

// Nothing but white space can end a part of it.
TEST_F(a_header_that_is_refused, OfWhiteSpaceEndsItsConnectionOnly) {
  ExpectRefused(
      CallText("slow", "X-Long: a" + std::string(70'000, ' ') + "z\r\n"), 431,
      "header-too-large");
  ExpectOthersAnswered();
}

TEST_F(a_header_that_is_refused, InATrailerEndsItsConnectionOnly) {
  ExpectRefused(
      "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nx\r\n0\r\nX-Long: " +
          LongText(kConfiguredBytes + kReadChunkBytes),
      431, "header-too-large");
  ExpectOthersAnswered();
}

TEST_F(a_header_that_is_refused, InAChunkExtensionEndsItsConnectionOnly) {
  ExpectRefused(
      "POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1;a=" +
          std::string(kConfiguredBytes + kReadChunkBytes, 'x'),
      431, "header-too-large");
  ExpectOthersAnswered();
}

/// An endpoint whose answer has a line that Beast's fields throw at.
class a_long_line_of_an_answer : public testing::TestWithParam<const char*> {};

TEST_P(a_long_line_of_an_answer, EndsItsCallOnly) {
  const std::string start = GetParam();
  scripted_server endpoint([&start](scripted_connection& connection) {
    const auto header = connection.ReadHeader();
    if (header && header->find("X-Odd") == std::string::npos) {
      connection.Write(AnswerText("whole"));
      return;
    }
    connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     start + std::string(70'000, 'x') + "\r\n\r\n");
  });
  running_node node;
  node.Announce("listings", endpoint.port());
  const read_answer odd = raw_client::Exchange(
      node.call_port(), CallText("listings", "X-Odd: 1\r\n"));
  EXPECT_EQ(odd.status, 502U);
  EXPECT_EQ(odd.Header("Auburnfold-Result"), "answer-too-large");
  EXPECT_EQ(raw_client::Exchange(node.call_port(), CallText("listings")).status,
            200U);
}

INSTANTIATE_TEST_SUITE_P(
    In,
    a_long_line_of_an_answer,
    testing::Values("1\r\nx\r\n0\r\nX-Long: ", "1\r\nx\r\n0\r\n", "1;a="));

}  // namespace
}  // namespace auburnfold::testing_support
