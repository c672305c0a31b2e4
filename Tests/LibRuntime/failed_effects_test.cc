#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "LibRuntime/Requests/own_dialect.h"
#include "LibRuntime/failed_effect.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

// Guards against an exception in one effect that stopped the decision loop: the
// node stayed ready and handled no event any more. And against one in a handler
// of the event loop, which ended the process.

namespace auburnfold::testing_support {
namespace {

/// What a node does for a request, of which one part throws.
enum class failing_part : std::uint8_t {
  kReadingCall,
  kReadingAnswer,
  kSendingWork,
  kAnswering,
  kRefusing,
};

/// Throws in one part for requests with the header `X-Odd`, or with an error.
struct failing_dialect : own_dialect {
  explicit failing_dialect(failing_part failing) : part(failing) {}

  leaf::result<caller_request> ReadCallerRequest(
      const http_request& request) const {
    ThrowIf(part == failing_part::kReadingCall && IsOdd(request));
    return own_dialect::ReadCallerRequest(request);
  }
  outcome ReadEndpointOutcome(const http_response& response) const {
    ThrowIf(part == failing_part::kReadingAnswer && IsOdd(response));
    return own_dialect::ReadEndpointOutcome(response);
  }
  void AddEndpointHeaders(http::fields& headers,
                          const endpoint_request& forwarded) const {
    ThrowIf(part == failing_part::kSendingWork && IsOdd(headers));
    own_dialect::AddEndpointHeaders(headers, forwarded);
  }
  void MarkComplete(http_response& response, const request_id& id) const {
    ThrowIf(part == failing_part::kAnswering && IsOdd(response));
    own_dialect::MarkComplete(response, id);
  }
  http_response MakeError(const caller_error& error) const {
    ThrowIf(part == failing_part::kRefusing &&
            error.kind == error_kind::kUnknownService);
    return own_dialect::MakeError(error);
  }

  static bool IsOdd(const http::fields& headers) {
    return headers.find("X-Odd") != headers.end();
  }
  static void ThrowIf(bool is_failing) {
    if (is_failing) {
      throw std::length_error("odd");
    }
  }

  failing_part part;
};

class a_node_of_which_a_part_throws : public testing::Test {
 protected:
  void Start(failing_part part) {
    node_ = std::make_unique<running_node>(
        LoopbackSettings(), any_wire_dialect(failing_dialect(part)));
    node_->Announce("listings", endpoint_.port());
  }

  read_answer CallOdd(const std::string& service = "listings") {
    return raw_client::Exchange(node_->call_port(),
                                CallText(service, "X-Odd: 1\r\n"));
  }

  void ExpectCountedAndOthersServed() {
    EXPECT_EQ(node_->Metric("auburnfold_effects_failed_total"), 1);
    EXPECT_EQ(
        raw_client::Exchange(node_->call_port(), CallText("listings")).status,
        200U);
  }

  scripted_server endpoint_{[](scripted_connection& connection) {
    while (const auto request = connection.ReadHeader()) {
      const bool is_odd = request->find("X-Odd") != std::string::npos;
      connection.Write(AnswerText("whole", is_odd ? "X-Odd: 1\r\n" : ""));
    }
  }};
  std::unique_ptr<running_node> node_;
};

TEST_F(a_node_of_which_a_part_throws, SaysThatAnUnreadRequestHasNotRun) {
  Start(failing_part::kReadingCall);
  const read_answer answer = CallOdd();
  EXPECT_EQ(answer.status, 500U);
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "internal");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "not-run");
  ExpectCountedAndOthersServed();
}

TEST_F(a_node_of_which_a_part_throws, AnswersTheEarlierRequestsOfAPipeline) {
  Start(failing_part::kReadingCall);
  raw_client client(node_->call_port());
  client.Write(CallText("listings") + CallText("listings", "X-Odd: 1\r\n"));
  const auto whole = client.Read();
  ASSERT_TRUE(whole);
  EXPECT_EQ(whole->status, 200U);
  const auto failed = client.Read();
  ASSERT_TRUE(failed);
  EXPECT_EQ(failed->Header("Auburnfold-Ran"), "not-run");
}

TEST_F(a_node_of_which_a_part_throws, SaysOfAnUnreadAnswerThatItMayHaveRun) {
  Start(failing_part::kReadingAnswer);
  const read_answer answer = CallOdd();
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "internal");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "unknown");
  EXPECT_EQ(
      raw_client::Exchange(node_->call_port(), CallText("listings")).status,
      200U);
}

TEST_F(a_node_of_which_a_part_throws, SaysThatAnUnsentRequestHasNotRun) {
  Start(failing_part::kSendingWork);
  const read_answer answer = CallOdd();
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "internal");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "not-run");
  ExpectCountedAndOthersServed();
}

TEST_F(a_node_of_which_a_part_throws, SaysThatARequestRanWhoseAnswerItLost) {
  Start(failing_part::kAnswering);
  const read_answer answer = CallOdd();
  EXPECT_EQ(answer.Header("Auburnfold-Result"), "internal");
  EXPECT_EQ(answer.Header("Auburnfold-Ran"), "ran");
  ExpectCountedAndOthersServed();
}

TEST_F(a_node_of_which_a_part_throws, ClosesTheConnectionItCannotAnswer) {
  Start(failing_part::kRefusing);
  raw_client client(node_->call_port());
  client.Write(CallText("nobody"));
  EXPECT_FALSE(client.Read());
  ExpectCountedAndOthersServed();
}

/// A node of which one effect of a kind throws: the first after `Arm`.
class a_node_of_which_an_effect_throws : public testing::Test {
 protected:
  static constexpr int kNone = -1;

  a_node_of_which_an_effect_throws() {
    node_.Announce("listings", endpoint_.port());
    EXPECT_TRUE(IsServed());
  }

  void Arm(int kind) { armed_ = kind; }
  bool has_thrown() const { return armed_ == kNone; }

  bool IsServed() {
    return raw_client::Exchange(node_.call_port(), CallText("listings"))
               .status == 200U;
  }

  /// Calls after which the reducer has made the effects of a request's usual
  /// ways. Each is answered, or its connection is closed.
  void CallInManyWays() {
    raw_client pipeline(node_.call_port());
    pipeline.Write(CallText("listings") + CallText("listings"));
    if (pipeline.Read()) {
      pipeline.Read();
    }
    raw_client::Exchange(node_.call_port(), CallText("nobody"));
    raw_client::Exchange(node_.call_port(),
                         "PUT /auburnfold/v1/endpoint HTTP/1.1\r\nHost: test"
                         "\r\nContent-Length: " +
                             std::to_string(report_.size()) + "\r\n\r\n" +
                             report_);
  }

  scripted_server endpoint_{[](scripted_connection& connection) {
    while (connection.ReadHeader()) {
      connection.Write(AnswerText("whole"));
    }
  }};
  std::string report_ =
      R"({"service":"listings","run":1,"state":"ready","port":)" +
      std::to_string(endpoint_.port()) + '}';
  std::atomic<int> armed_{kNone};
  running_node node_{LoopbackSettings(), [this](const effect& next) {
                       int expected = static_cast<int>(next.index());
                       if (armed_.compare_exchange_strong(expected, kNone)) {
                         throw std::length_error("odd");
                       }
                     }};
};

class a_node_of_which_each_kind_throws
    : public a_node_of_which_an_effect_throws,
      public testing::WithParamInterface<int> {};

TEST_P(a_node_of_which_each_kind_throws, ServesTheNextRequests) {
  Arm(GetParam());
  CallInManyWays();
  const bool was_carried_out = has_thrown();
  Arm(kNone);
  EXPECT_TRUE(IsServed());
  EXPECT_TRUE(IsServed());
  EXPECT_EQ(node_.Metric("auburnfold_effects_failed_total"),
            was_carried_out ? 1 : 0);
}

INSTANTIATE_TEST_SUITE_P(
    EachKind,
    a_node_of_which_each_kind_throws,
    testing::Range(0, static_cast<int>(std::variant_size_v<effect>)));

template <class kind>
int IndexOf() {
  return static_cast<int>(effect(kind()).index());
}

// Otherwise the test above shows nothing for these.
TEST_F(a_node_of_which_an_effect_throws, HasSeenTheKindsOfTheUsualWays) {
  for (const int kind : {IndexOf<send_attempt>(), IndexOf<relay_answer>(),
                         IndexOf<refuse_call>(), IndexOf<execute_work>(),
                         IndexOf<relay_work_answer>(), IndexOf<defer_call>(),
                         IndexOf<acknowledge_report>(), IndexOf<log_decision>(),
                         IndexOf<increment_counter>()}) {
    Arm(kind);
    CallInManyWays();
    EXPECT_TRUE(has_thrown()) << kind;
  }
}

class an_effect_that_failed : public testing::Test {};

TEST_F(an_effect_that_failed, EndsWhatTheReducerWaitsFor) {
  const auto store = EventInPlaceOf(call_store{store_call_id(7), {}});
  ASSERT_TRUE(store);
  EXPECT_EQ(std::get<store_answered>(*store).call, store_call_id(7));
  EXPECT_EQ(std::get<store_answered>(*store).result.status,
            store_status::kUnknown);
  EXPECT_TRUE(EventInPlaceOf(decode_routes{}));
  EXPECT_TRUE(EventInPlaceOf(report_quota_usage{}));
  EXPECT_TRUE(EventInPlaceOf(query_attempts{}));
  EXPECT_FALSE(EventInPlaceOf(wake_at{}));
}

}  // namespace
}  // namespace auburnfold::testing_support
