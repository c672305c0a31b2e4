#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <cstdio>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_protocol.h"

namespace auburnfold::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Reads one request and does as told: sends `answer` and ends the connection,
/// or, with `is_silent`, never answers.
class a_store : public testing::Test {
 protected:
  a_store() : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}) {}

  void Serve() {
    acceptor_.async_accept([this](const auto& error, tcp::socket socket) {
      ASSERT_FALSE(error);
      socket_.emplace(std::move(socket));
      asio::async_read_until(*socket_, asio::dynamic_buffer(received_),
                             "\r\n\r\n", [this](const auto&, std::size_t) {
                               if (!is_silent_) {
                                 asio::write(*socket_, asio::buffer(answer_));
                                 ServeFurtherPages();
                               }
                             });
    });
  }

  // Closing the socket alone would be a reset if it held unread bytes.
  void End() {
    if (is_reset_) {
      socket_->set_option(tcp::socket::linger(true, 0));
    } else {
      socket_->shutdown(tcp::socket::shutdown_send);
    }
    socket_->close();
  }

  /// Answers the requests that follow on the connection, then closes it.
  void ServeFurtherPages() {
    if (further_answers_.empty()) {
      return End();
    }
    received_.clear();
    asio::async_read_until(
        *socket_, asio::dynamic_buffer(received_), "\r\n\r\n",
        [this](const auto& error, std::size_t) {
          if (error) {
            return;
          }
          requested_.push_back(received_.substr(0, received_.find('\r')));
          asio::write(*socket_, asio::buffer(further_answers_.front()));
          further_answers_.pop_front();
          ServeFurtherPages();
        });
  }

  store_result Call(store_request request) {
    store_client client(
        context_.get_executor(),
        {.host = "127.0.0.1", .port = acceptor_.local_endpoint().port()},
        {.response = answer_timeout()}, max_listing_bytes_);
    std::optional<store_result> result;
    client.Call(std::move(request),
                [&result](const store_result& got) { result = got; });
    while (!result) {
      context_.run_one();
    }
    return *result;
  }

  // Only a store that stays silent is waited for to the end.
  std::chrono::milliseconds answer_timeout() const {
    return std::chrono::milliseconds(is_silent_ ? 50 : 30000);
  }

  static std::string Answer(std::string_view status, std::string_view body) {
    return "HTTP/1.1 " + std::string(status) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           std::string(body);
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::optional<tcp::socket> socket_;
  std::string received_;
  std::string answer_;
  std::deque<std::string> further_answers_;
  /// The request lines that these answered.
  std::vector<std::string> requested_;
  std::uint64_t max_listing_bytes_ = store_client::kMaxListingBytes;
  bool is_silent_ = false;
  /// The connection ends with a reset, else in order.
  bool is_reset_ = false;
};

const store_compare_and_swap kWrite{"table/a b/c", "new", store_revision(4)};

class the_era_of_the_store : public a_store {};

TEST_F(the_era_of_the_store, IsReadFromEachAnswer) {
  for (const char* status :
       {"200 OK", "412 Precondition Failed", "503 Service Unavailable"}) {
    answer_ = "HTTP/1.1 " + std::string(status) +
              "\r\nStore-Era: 3\r\nContent-Length: 0\r\n\r\n";
    Serve();
    EXPECT_EQ(Call(kWrite).era, store_era(3));
    received_.clear();
  }
}

class a_write : public a_store {};

TEST_F(a_write, IsSentUnderItsConditionAndWithItsLease) {
  answer_ = Answer("200 OK", R"({"revision":5})");
  Serve();
  store_compare_and_swap write = kWrite;
  write.lease = store_lease(77);
  const store_result result = Call(write);
  EXPECT_EQ(received_.substr(0, received_.find('\r')), "POST /kv-txn HTTP/1.1");
  EXPECT_EQ(received_.substr(received_.find("\r\n\r\n") + 4),
            R"({"expect":[{"key":"table/a b/c","revision":4}],)"
            R"("writes":[{"key":"table/a b/c","value":"bmV3","lease":77}],)"
            R"("remove":[]})");
  EXPECT_EQ(result.status, store_status::kDone);
  ASSERT_EQ(result.entries.size(), 1U);
  EXPECT_EQ(result.entries[0].revision, store_revision(5));
  EXPECT_EQ(result.entries[0].value, "new");
}

TEST_F(a_write, ThatMeetsAnotherRevisionIsToldTheCurrentEntry) {
  answer_ =
      Answer("412 Precondition Failed",
             R"({"items":[{"key":"k","value":"dGhlaXJz","revision":9}]})");
  Serve();
  const store_result result = Call(kWrite);
  EXPECT_EQ(result.status, store_status::kConflict);
  ASSERT_EQ(result.entries.size(), 1U);
  EXPECT_EQ(result.entries[0].value, "theirs");
}

TEST_F(a_write, UnderALeaseThatHasEndedHasNoEffect) {
  answer_ = Answer("404 Not Found", "{}");
  Serve();
  EXPECT_EQ(Call(kWrite).status, store_status::kLeaseExpired);
}

TEST_F(a_write, ThatTheStoreTurnsAwayHasNoEffect) {
  answer_ = Answer("503 Service Unavailable", "");
  Serve();
  EXPECT_EQ(Call(kWrite).status, store_status::kUnavailable);
}

TEST_F(a_write, IsUnknownIfTheConnectionClosesBeforeTheAnswer) {
  Serve();
  EXPECT_EQ(Call(kWrite).status, store_status::kUnknown);
}

TEST_F(a_write, IsUnknownIfTheStoreStaysSilent) {
  is_silent_ = true;
  Serve();
  EXPECT_EQ(Call(kWrite).status, store_status::kUnknown);
}

TEST_F(a_write, IsUnknownIfTheAnswerIsTruncated) {
  answer_ = "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"entries\":[";
  Serve();
  EXPECT_EQ(Call(kWrite).status, store_status::kUnknown);
}

TEST_F(a_write, IsUnknownIfTheStoreFailsInside) {
  answer_ = Answer("500 Internal Server Error", "");
  Serve();
  EXPECT_EQ(Call(kWrite).status, store_status::kUnknown);
}

TEST_F(a_write, IsCertainlyWithoutEffectIfTheStoreIsNotReached) {
  acceptor_.close();
  tcp::acceptor closed(context_, {asio::ip::make_address("127.0.0.1"), 0});
  const auto port = closed.local_endpoint().port();
  closed.close();
  store_client client(context_.get_executor(),
                      {.host = "127.0.0.1", .port = port});
  std::optional<store_result> result;
  client.Call(kWrite, [&result](const store_result& got) { result = got; });
  context_.run();
  ASSERT_TRUE(result);
  EXPECT_EQ(result->status, store_status::kUnavailable);
}

class a_read : public a_store {};

TEST_F(a_read, GetsEveryEntryAndTheRevision) {
  answer_ =
      Answer("200 OK", R"({"items":[{"key":"a","value":"MQ==","revision":2},)"
                       R"({"key":"b","value":"","revision":3}],)"
                       R"("hasMore":false,"asOf":7})");
  Serve();
  const store_result result = Call(store_list{"table/"});
  EXPECT_EQ(result.status, store_status::kDone);
  ASSERT_EQ(result.entries.size(), 2U);
  EXPECT_EQ(result.entries[0].value, "1");
  EXPECT_EQ(result.entries[1].value, "");
  EXPECT_EQ(result.revision, store_revision(7));
}

TEST_F(a_read, LeavesOutWhatAnotherWriterLeftInAnotherForm) {
  answer_ = Answer(
      "200 OK", R"({"items":[{"key":1},{"key":"a","value":"%","revision":1},)"
                R"({"key":"b","value":"Mg==","revision":3}],"asOf":7})");
  Serve();
  const store_result result = Call(store_list{"table/"});
  ASSERT_EQ(result.entries.size(), 1U);
  EXPECT_EQ(result.entries[0].key, "b");
}

TEST_F(a_read, OfAnAbsentKeyFindsNothing) {
  answer_ = Answer("404 Not Found", "{}");
  Serve();
  const store_result result = Call(store_get{"k"});
  EXPECT_EQ(result.status, store_status::kDone);
  EXPECT_TRUE(result.entries.empty());
}

TEST_F(a_read, IsUnavailableIfItsAnswerMakesNoSense) {
  answer_ = Answer("200 OK", R"({"items":7})");
  Serve();
  EXPECT_EQ(Call(store_list{"k"}).status, store_status::kUnavailable);
}

// Guards against bytes behind such a status that are taken for the answer.
TEST_F(a_read, IsUnavailableIfItsStatusIsNone) {
  for (const char* status : {"000", "001", "099", "100", "101", "103", "700"}) {
    SCOPED_TRACE(status);
    answer_ = Answer(status + std::string(" Odd"),
                     Answer("200 OK", R"({"items":[],"asOf":7})"));
    Serve();
    EXPECT_EQ(Call(store_list{"k"}).status, store_status::kUnavailable);
    received_.clear();
  }
}

class a_listing_of_several_pages : public a_store {
 protected:
  static std::string Page(const std::string& items, bool has_more) {
    return Answer("200 OK", R"({"items":[)" + items + R"(],"hasMore":)" +
                                (has_more ? "true" : "false") +
                                R"(,"asOf":7})");
  }

  static constexpr char kOdd[] = R"({"key":"b","value":7,"revision":1})";
  static constexpr char kGood[] = R"({"key":"c","value":"Mg==","revision":3})";
};

// The entries of the other pages would be taken for removed.
TEST_F(a_listing_of_several_pages, GoesOnAfterAPageOfOddEntries) {
  answer_ = Page(kOdd, true);
  further_answers_ = {Page(kGood, false)};
  Serve();
  const store_result result = Call(store_list{"table/"});
  EXPECT_EQ(result.status, store_status::kDone);
  ASSERT_EQ(result.entries.size(), 1U);
  EXPECT_EQ(result.entries[0].key, "c");
  EXPECT_EQ(requested_, std::vector<std::string>{
                            "GET /kv-range?prefix=table%2F&after=b HTTP/1.1"});
}

TEST_F(a_listing_of_several_pages, GoesOnAfterASecondPageOfOddEntries) {
  answer_ = Page(R"({"key":"a","value":"MQ==","revision":2})", true);
  further_answers_ = {Page(kOdd, true), Page(kGood, false)};
  Serve();
  const store_result result = Call(store_list{"table/"});
  ASSERT_EQ(result.entries.size(), 2U);
  EXPECT_EQ(result.entries[1].key, "c");
}

TEST_F(a_listing_of_several_pages, IsUnavailableIfAPageNamesNoKeyToGoOnFrom) {
  answer_ = Page(R"({"key":7,"value":"MQ==","revision":2})", true);
  Serve();
  EXPECT_EQ(Call(store_list{"table/"}).status, store_status::kUnavailable);
}

// The same page would be asked for without an end.
TEST_F(a_listing_of_several_pages, IsUnavailableIfAPageNamesNoFurtherKey) {
  answer_ = Page(kGood, true);
  further_answers_ = {Page(kGood, true), Page(kGood, true)};
  Serve();
  EXPECT_EQ(Call(store_list{"table/"}).status, store_status::kUnavailable);
  EXPECT_EQ(requested_.size(), 1U);
}

TEST_F(a_listing_of_several_pages, IsUnavailableIfItsPagesHaveNoEnd) {
  max_listing_bytes_ = 3 * Page(kGood, true).size();
  answer_ = Page(R"({"key":"a","value":"MQ==","revision":2})", true);
  for (const char key : std::string_view("bcdefghijk")) {
    further_answers_.push_back(Page(R"({"key":")" + std::string(1, key) +
                                        R"(","value":"MQ==","revision":2})",
                                    true));
  }
  Serve();
  EXPECT_EQ(Call(store_list{"table/"}).status, store_status::kUnavailable);
  EXPECT_LT(requested_.size(), 10U);
}

class a_response_in_chunks : public a_store {
 protected:
  static std::string InChunks(const std::string& extension,
                              const std::string& trailers) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
           std::string("17") + extension + "\r\n" +
           R"({"items":[], "asOf": 7})" + "\r\n0\r\n" + trailers + "\r\n";
  }

  /// More than is buffered.
  const std::string long_text_ = std::string(200'000, 'x');
};

TEST_F(a_response_in_chunks, IsReadWithExtensionsAndTrailers) {
  answer_ = InChunks(";a=b", "X-Trailer: t\r\n");
  Serve();
  const store_result result = Call(store_list{"k"});
  EXPECT_EQ(result.status, store_status::kDone);
  EXPECT_EQ(result.revision, store_revision(7));
}

// Guards against a node that runs out of memory (LOST): a chunk extension or
// trailers without end were kept until the call timed out.
TEST_F(a_response_in_chunks, IsGivenUpAtALongExtension) {
  answer_ = InChunks(";" + long_text_, "");
  Serve();
  EXPECT_EQ(Call(store_list{"k"}).status, store_status::kUnavailable);
}

TEST_F(a_response_in_chunks, IsGivenUpAtLongTrailers) {
  answer_ = InChunks("", "X-Trailer: " + long_text_ + "\r\n");
  Serve();
  EXPECT_EQ(Call(kWrite).status, store_status::kUnknown);
}

class a_watch : public a_store {};

TEST_F(a_watch, ShowsWhatWasWrittenAndWhatWasRemoved) {
  answer_ =
      Answer("200 OK", R"({"events":[{"key":"a","value":"MQ==","revision":8},)"
                       R"({"key":"b","revision":9,"deleted":true}],"asOf":9})");
  Serve();
  const store_result result = Call(store_watch{"table/", store_revision(6)});
  EXPECT_EQ(received_.substr(0, received_.find('\r')),
            "GET /kv-watch?prefix=table%2F&after=6&waitMs=10000 HTTP/1.1");
  ASSERT_EQ(result.entries.size(), 2U);
  EXPECT_FALSE(result.entries[0].is_removed);
  EXPECT_TRUE(result.entries[1].is_removed);
  EXPECT_EQ(result.revision, store_revision(9));
}

TEST_F(a_watch, IsToldThatItsHistoryIsGone) {
  answer_ = Answer("410 Gone", "{}");
  Serve();
  EXPECT_EQ(Call(store_watch{"table/", store_revision(6)}).status,
            store_status::kHistoryGone);
}

TEST_F(a_watch, IsUnavailableIfTheStoreClosesIt) {
  Serve();
  EXPECT_EQ(Call(store_watch{"table/", store_revision(6)}).status,
            store_status::kUnavailable);
}

class a_lease : public a_store {};

TEST_F(a_lease, IsGrantedForTheTimeThatTheStoreSays) {
  answer_ = Answer("200 OK", R"({"lease":77120,"ttlS":3.5})");
  Serve();
  const store_result result =
      Call(store_grant_lease{std::chrono::milliseconds(3000)});
  EXPECT_EQ(received_.substr(0, received_.find('\r')),
            "POST /kv-lease HTTP/1.1");
  EXPECT_EQ(result.lease, store_lease(77120));
  EXPECT_EQ(result.time_to_live, std::chrono::milliseconds(3500));
}

TEST_F(a_lease, ThatHasEndedIsNotRenewed) {
  answer_ = Answer("404 Not Found", "{}");
  Serve();
  EXPECT_EQ(Call(store_renew_lease{store_lease(5)}).status,
            store_status::kLeaseExpired);
}

// A call and its answer, given with a length, in chunks, and without a length.
struct answered_call {
  store_request request;
  std::string status;
  std::string body;
  store_status result = store_status::kDone;
};

std::vector<answered_call> AnsweredCalls() {
  const std::string ok = "200 OK";
  return {
      {kWrite, ok, R"({"revision":512})"},
      {kWrite, "412 Precondition Failed",
       R"({"items":[{"key":"k","value":"bmV3","revision":91}]})",
       store_status::kConflict},
      {store_get{"k"}, ok,
       R"({"key":"k","value":"bmV3","revision":91,"asOf":912})"},
      {store_list{"k"}, ok,
       R"({"items":[{"key":"k","value":"MQ==","revision":91}],"asOf":912})"},
      {store_watch{"k", store_revision(6)}, ok,
       R"({"events":[{"key":"k","value":"MQ==","revision":91}],"asOf":91})"},
      {store_grant_lease{std::chrono::milliseconds(3000)}, ok,
       R"({"lease":77120,"ttlS":3.5})"},
      {store_renew_lease{store_lease(5)}, ok, R"({"ttlS":35})"},
  };
}

class an_answer_of_the_store_that_is_cut
    : public a_store,
      public testing::WithParamInterface<bool> {
 protected:
  static std::vector<std::string> Forms(const answered_call& call) {
    const std::string start = "HTTP/1.1 " + call.status + "\r\n";
    std::array<char, 8> size{};
    std::snprintf(size.data(), size.size(), "%zx", call.body.size());
    return {
        Answer(call.status, call.body),
        start + "Transfer-Encoding: chunked\r\n\r\n" + size.data() + "\r\n" +
            call.body + "\r\n0\r\n\r\n",
        start + "\r\n" + call.body,
    };
  }

  store_status StatusOf(const answered_call& call, std::string answer) {
    answer_ = std::move(answer);
    received_.clear();
    Serve();
    return Call(call.request).status;
  }
};

TEST_P(an_answer_of_the_store_that_is_cut, LeavesTheOutcomeOpenAtEveryByte) {
  is_reset_ = GetParam();
  for (const answered_call& call : AnsweredCalls()) {
    const store_status lost = LostResponseTo(call.request).status;
    for (const std::string& whole : Forms(call)) {
      for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        EXPECT_EQ(StatusOf(call, whole.substr(0, cut)), lost)
            << whole.substr(0, cut);
      }
    }
  }
}

TEST_P(an_answer_of_the_store_that_is_cut, IsTakenIfOnlyItsConnectionIs) {
  is_reset_ = GetParam();
  for (const answered_call& call : AnsweredCalls()) {
    const std::vector<std::string> forms = Forms(call);
    EXPECT_EQ(StatusOf(call, forms[0]), call.result) << forms[0];
    EXPECT_EQ(StatusOf(call, forms[1]), call.result) << forms[1];
    // Without a length only an orderly close says that it has ended.
    const store_status lost = LostResponseTo(call.request).status;
    EXPECT_EQ(StatusOf(call, forms[2]), is_reset_ ? lost : call.result)
        << forms[2];
  }
}

INSTANTIATE_TEST_SUITE_P(Either,
                         an_answer_of_the_store_that_is_cut,
                         testing::Bool(),
                         [](const auto& is_reset) {
                           return is_reset.param ? "by_a_reset" : "in_order";
                         });

}  // namespace
}  // namespace auburnfold::platform
