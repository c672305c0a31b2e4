#include <gtest/gtest.h>

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "LibDecision/peer_message.h"
#include "LibRuntime/Connections/http_types.h"
#include "LibWire/cbor_codec.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

// A key may be issued twice without harm. The class `browse` is idempotent by
// its row; the class `lookup` has none.
std::string KeyText(const std::string& name) {
  return "POST /auburnfold/v1/keys HTTP/1.1\r\nHost: test\r\n"
         "Auburnfold-Service: listings\r\nAuburnfold-Class: lookup\r\n"
         "Auburnfold-Timeout-Ms: 30000\r\nAuburnfold-Request-Id: " +
         name + "\r\n\r\n";
}

std::string Lookup(const std::string& name) {
  std::string text =
      CallText("listings", "Auburnfold-Request-Id: " + name + "\r\n", name);
  return text.replace(text.find("lookup"), 6, "browse");
}

std::string NamedCall(const std::string& name) {
  return CallText("listings", "Auburnfold-Request-Id: " + name + "\r\n", name);
}

/// A node whose endpoint answers with what it was sent, once it may.
class a_pipeline : public testing::Test {
 protected:
  explicit a_pipeline(const node_settings& settings = LoopbackSettings())
      : node_(settings) {
    node_.Announce("listings", endpoint_.port());
    client_ = std::make_unique<raw_client>(node_.call_port());
    const table_row row{.service = service_name("listings"),
                        .request_class = class_name("browse"),
                        .version = row_version(1),
                        .settings = {.concurrency_limit = 64,
                                     .queue_limit = std::chrono::seconds(10),
                                     .is_idempotent = true}};
    node_.SendControl(cbor_codec::Encode(
        {node_id(99), incarnation(1), {"127.0.0.1", 1, 1}, row_update{{row}}}));
    node_.WaitForMetric("auburnfold_rows_taken_total", 1);
  }
  ~a_pipeline() override { AllowAll(); }

  void Serve(scripted_connection& connection) {
    while (const auto request = connection.ReadRequest()) {
      const std::string body = request->substr(request->find("\r\n\r\n") + 4);
      std::unique_lock lock(mutex_);
      read_.insert(body);
      changed_.notify_all();
      changed_.wait(lock,
                    [&] { return allows_all_ || allowed_.contains(body); });
      lock.unlock();
      connection.Write(AnswerText(
          body.starts_with("big") ? std::string(kBigBytes, 'x') : body));
    }
    const std::lock_guard lock(mutex_);
    ++closed_;
    changed_.notify_all();
  }

  void Allow(const std::string& body) {
    const std::lock_guard lock(mutex_);
    allowed_.insert(body);
    changed_.notify_all();
  }
  void AllowAll() {
    const std::lock_guard lock(mutex_);
    allows_all_ = true;
    changed_.notify_all();
  }
  void WaitUntilRead(const std::string& body) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return read_.contains(body); });
  }
  bool WasRead(const std::string& body) {
    const std::lock_guard lock(mutex_);
    return read_.contains(body);
  }

  void ExpectAnswer(const std::string& request, unsigned status = 200) {
    const auto answer = client_->Read();
    ASSERT_TRUE(answer) << request;
    EXPECT_EQ(answer->status, status);
    EXPECT_EQ(answer->Header("Auburnfold-Request-Id"), request);
  }
  /// The answer closes the connection, and nothing follows it.
  void ExpectLast(unsigned status) {
    const auto answer = client_->Read();
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, status);
    EXPECT_EQ(answer->Header("Connection"), "close");
    EXPECT_TRUE(client_->ReadsEnd());
  }

  /// Of requests whose answers have `kBigBytes`.
  static std::vector<std::string> BigNames(int count) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      names.push_back("big-" + std::to_string(i));
    }
    return names;
  }
  static std::string LookupsOf(const std::vector<std::string>& names) {
    std::string text;
    for (const std::string& name : names) {
      text += Lookup(name);
    }
    return text;
  }
  static void ExpectBigAnswers(raw_client& client,
                               const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      const auto answer = client.Read();
      ASSERT_TRUE(answer) << name;
      EXPECT_EQ(answer->Header("Auburnfold-Request-Id"), name);
      EXPECT_EQ(answer->body.size(), kBigBytes) << answer->body.substr(0, 99);
    }
  }

  static constexpr std::size_t kBigBytes = 900'000;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::set<std::string> read_;
  std::set<std::string> allowed_;
  bool allows_all_ = false;
  int closed_ = 0;
  scripted_server endpoint_{
      [this](scripted_connection& connection) { Serve(connection); }};
  running_node node_;
  std::unique_ptr<raw_client> client_;
};

TEST_F(a_pipeline, OfAHundredIsAnsweredInOrder) {
  AllowAll();
  std::string requests;
  for (int i = 0; i < 50; ++i) {
    requests += KeyText("key-" + std::to_string(i));
    requests += NamedCall("call-" + std::to_string(i));
  }
  client_->Write(requests);
  for (int i = 0; i < 50; ++i) {
    ExpectAnswer("key-" + std::to_string(i), 201);
    ExpectAnswer("call-" + std::to_string(i));
  }
}

// Guards against requests that were read once more in place of later ones
// (TWICE, MIXED): the outstanding read stored into the buffer that requests
// were taken from meanwhile.
TEST_F(a_pipeline, IsReadAsItWasSentIfMoreArrivesBehindWhatWaits) {
  std::string first;
  std::string second;
  for (int i = 10; i < 30; ++i) {
    first += Lookup("n-" + std::to_string(i));
    second += Lookup("n-" + std::to_string(i + 20));
  }
  client_->Write(first);
  node_.WaitForMetric("auburnfold_calls_in_flight", 16);
  AllowAll();
  for (int i = 10; i < 30; ++i) {
    ExpectAnswer("n-" + std::to_string(i));
  }
  client_->Write(second);
  for (int i = 30; i < 50; ++i) {
    ExpectAnswer("n-" + std::to_string(i));
  }
}

TEST_F(a_pipeline, OfAHundredRunsSideBySideUpToABound) {
  std::string requests;
  for (int i = 0; i < 100; ++i) {
    requests += KeyText("key-" + std::to_string(i));
  }
  client_->Write(requests);
  for (int i = 0; i < 100; ++i) {
    ExpectAnswer("key-" + std::to_string(i), 201);
  }
  EXPECT_EQ(node_.Metric("auburnfold_longest_pipeline"), 16);
}

TEST_F(a_pipeline, KeepsTheOrderBehindASlowRequest) {
  client_->Write(Lookup("slow") + Lookup("fast-1") + Lookup("fast-2"));
  Allow("fast-1");
  Allow("fast-2");
  WaitUntilRead("slow");
  WaitUntilRead("fast-1");
  WaitUntilRead("fast-2");
  while (node_.Metric("auburnfold_calls_in_flight") > 1) {
  }
  Allow("slow");
  ExpectAnswer("slow");
  ExpectAnswer("fast-1");
  ExpectAnswer("fast-2");
}

TEST_F(a_pipeline, RunsNothingBesideACallThatMayRunOnce) {
  client_->Write(NamedCall("c1") + Lookup("l1") + Lookup("l2"));
  WaitUntilRead("c1");
  node_.WaitForMetric("auburnfold_calls_deferred_total", 1);
  EXPECT_FALSE(WasRead("l1"));
  Allow("c1");
  ExpectAnswer("c1");
  WaitUntilRead("l1");
  WaitUntilRead("l2");
  AllowAll();
  ExpectAnswer("l1");
  ExpectAnswer("l2");
}

// Guards against requests that ran and got no answer (LOST): the answers that
// waited for the first one were dropped from 4 MiB on.
TEST_F(a_pipeline, IsAnsweredWholeIfItsAnswersAreLargeAndTheFirstIsSlow) {
  const std::vector<std::string> names = BigNames(12);
  client_->Write(LookupsOf(names));
  for (std::size_t i = 1; i < names.size(); ++i) {
    Allow(names[i]);
  }
  WaitUntilRead(names[0]);
  WaitUntilRead(names[1]);
  while (node_.Metric("auburnfold_calls_in_flight") > 1) {
  }
  Allow(names[0]);
  ExpectBigAnswers(*client_, names);
}

TEST_F(a_pipeline, IsAnsweredWholeIfItsClientReadsLate) {
  const std::vector<std::string> names = BigNames(12);
  AllowAll();
  client_->Write(LookupsOf(names));
  WaitUntilRead(names[0]);
  while (node_.Metric("auburnfold_calls_in_flight") > 0) {
  }
  ExpectBigAnswers(*client_, names);
}

// There is no memory for all their answers at once.
TEST_F(a_pipeline, IsAnsweredWholeBesideOthersWithLargeAnswers) {
  constexpr int kClients = 6;
  const std::vector<std::string> names = BigNames(12);
  std::vector<std::unique_ptr<raw_client>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<raw_client>(node_.call_port()));
    clients.back()->Write(LookupsOf(names));
  }
  node_.WaitForMetric("auburnfold_calls_deferred_total", 1);
  AllowAll();
  for (const std::unique_ptr<raw_client>& client : clients) {
    ExpectBigAnswers(*client, names);
  }
}

TEST_F(a_pipeline, IsAnsweredWholeIfItRunsWhenTheNodeStops) {
  client_->Write(Lookup("l1") + Lookup("l2") + Lookup("l3"));
  WaitUntilRead("l1");
  WaitUntilRead("l3");
  node_.Stop();
  AllowAll();
  ExpectAnswer("l1");
  ExpectAnswer("l2");
  ExpectLast(200);
}

TEST_F(a_pipeline, RunsACallThatMayRunOnceAlone) {
  client_->Write(KeyText("k1") + NamedCall("c1") + NamedCall("c2") +
                 KeyText("k2"));
  ExpectAnswer("k1", 201);
  WaitUntilRead("c1");
  node_.WaitForMetric("auburnfold_calls_deferred_total", 2);
  EXPECT_EQ(node_.Metric("auburnfold_calls_in_flight"), 2);
  EXPECT_FALSE(WasRead("c2"));
  EXPECT_EQ(node_.Metric("auburnfold_keys_issued_total"), 1);
  Allow("c1");
  ExpectAnswer("c1");
  WaitUntilRead("c2");
  AllowAll();
  ExpectAnswer("c2");
  ExpectAnswer("k2", 201);
}

TEST_F(a_pipeline, EndsAtAMalformedRequest) {
  client_->Write(NamedCall("c1") + NamedCall("c2") + "no request\r\n\r\n" +
                 NamedCall("c3"));
  AllowAll();
  ExpectAnswer("c1");
  ExpectAnswer("c2");
  ExpectLast(400);
  EXPECT_FALSE(WasRead("c3"));
}

TEST_F(a_pipeline, EndsAtABodyOverTheLimit) {
  client_->Write(NamedCall("c1") +
                 "POST / HTTP/1.1\r\nHost: test\r\n"
                 "Content-Length: 1048577\r\n\r\n" +
                 NamedCall("c2"));
  AllowAll();
  ExpectAnswer("c1");
  ExpectLast(413);
  EXPECT_FALSE(WasRead("c2"));
}

TEST_F(a_pipeline, EndsAtARequestThatClosesTheConnection) {
  std::string last = NamedCall("c2");
  last.insert(last.find("\r\n") + 2, "Connection: close\r\n");
  client_->Write(NamedCall("c1") + last + NamedCall("c3"));
  AllowAll();
  ExpectAnswer("c1");
  ExpectLast(200);
  EXPECT_FALSE(WasRead("c3"));
}

TEST_F(a_pipeline, IsCancelledWhenItsClientLeaves) {
  client_->Write(NamedCall("c1") + NamedCall("c2") + KeyText("k1"));
  WaitUntilRead("c1");
  client_->CloseAndWaitUntilReceived();
  while (node_.Metric("auburnfold_calls_in_flight") > 0) {
  }
  AllowAll();
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [&] { return closed_ > 0; });
  EXPECT_FALSE(read_.contains("c2"));
}

// The close stands behind more than is read ahead.
TEST_F(a_pipeline, IsCancelledWhenItsClientLeavesBehindMuchThatIsUnread) {
  client_->Write(NamedCall("c1"));
  WaitUntilRead("c1");
  const std::string body(1500, 'x');
  for (int i = 0; i < 40; ++i) {
    client_->Write(CallText("listings", {}, body));
  }
  client_->CloseAndWaitUntilReceived();
  while (node_.Metric("auburnfold_calls_in_flight") > 0) {
  }
  EXPECT_FALSE(WasRead(body));
}

TEST_F(a_pipeline, EndsWithWhatRunsWhenTheNodeStops) {
  client_->Write(NamedCall("c1") + NamedCall("c2") + KeyText("k1"));
  WaitUntilRead("c1");
  node_.WaitForMetric("auburnfold_calls_deferred_total", 1);
  node_.Stop();
  while (
      raw_client::Exchange(node_.admin_port(), "GET /readyz HTTP/1.1\r\n\r\n")
          .status != 503) {
  }
  AllowAll();
  ExpectLast(200);
  EXPECT_EQ(node_.WaitUntilStopped(), 0U);
  EXPECT_FALSE(WasRead("c2"));
}

// The answers behind the first one wait for it, and the node has nothing else
// to wait for.
TEST_F(a_pipeline, IsAnsweredWholeIfItsFirstAnswerIsTheLastOfAStop) {
  client_->Write(Lookup("slow") + Lookup("fast-1") + Lookup("fast-2"));
  WaitUntilRead("slow");
  Allow("fast-1");
  Allow("fast-2");
  WaitUntilRead("fast-2");
  while (node_.Metric("auburnfold_calls_in_flight") > 1) {
  }
  node_.Stop();
  while (raw_client::Exchange(node_.peer_port(),
                              CallText("unoffered", node_.ForwardedHeaders()))
             .Header("Auburnfold-Result") != "node-stopping") {
  }
  Allow("slow");
  ExpectAnswer("slow");
  ExpectAnswer("fast-1");
  ExpectLast(200);
  EXPECT_EQ(node_.WaitUntilStopped(), 0U);
}

}  // namespace
}  // namespace auburnfold::testing_support
