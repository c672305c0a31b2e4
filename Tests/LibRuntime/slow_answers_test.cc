#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <string>
#include <string_view>

#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

constexpr std::string_view kJson = "Content-Type: application/json\r\n";

bool IsQuestion(const std::string& request) {
  return request.starts_with("POST /auburnfold/v1/attempts ");
}

/// The number after `name` in a question or in a header.
std::string NumberAfter(const std::string& text, std::string_view name) {
  const std::size_t begin = text.find(name) + name.size();
  return text.substr(begin,
                     text.find_first_not_of("0123456789", begin) - begin);
}

/// Guards against giving up a request at a peer that is still at work, and
/// against waiting for a request or answer that was lost.
class a_call_whose_answer_takes_long : public testing::Test {
 protected:
  /// The peer leaves the first request unanswered until it was asked about it
  /// `questions` times, and answers each question with `state`. It answers all
  /// other requests at once.
  read_answer Call(const std::string& state, int questions) {
    const auto answer_questions = [this, state](scripted_connection& connection,
                                                const std::string& question) {
      const std::string reports = R"({"attempts":[{"attempt":)" +
                                  NumberAfter(question, R"("attempt":)") +
                                  R"(,"state":")" + state +
                                  R"(","answeredAgoMs":5000}]})";
      ++questions_;
      connection.Write(AnswerText(reports, kJson));
    };
    peer_ = std::make_unique<scripted_server>(
        [this, answer_questions, questions](scripted_connection& connection) {
          while (const auto request = connection.ReadRequest()) {
            if (IsQuestion(*request)) {
              answer_questions(connection, *request);
              return;
            }
            const bool is_first = requests_++ == 0;
            while (is_first && questions_ < questions && !is_over_) {
              std::this_thread::yield();
            }
            connection.Write(
                AnswerText("done", "Auburnfold-Result: complete\r\n"));
          }
        });
    node_.AnnouncePeer("tracking", peer_->port());
    read_answer answer =
        raw_client::Exchange(node_.call_port(), CallText("tracking"));
    is_over_ = true;
    return answer;
  }

  running_node node_;
  std::unique_ptr<scripted_server> peer_;
  std::atomic<int> requests_ = 0;
  std::atomic<int> questions_ = 0;
  std::atomic<bool> is_over_ = false;
};

TEST_F(a_call_whose_answer_takes_long, WaitsWhileThePeerIsAtWork) {
  const read_answer answer = Call("at-work", 1);
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "done");
  EXPECT_EQ(requests_, 1);
  EXPECT_EQ(node_.Metric("auburnfold_attempt_queries_total"), 1);
  EXPECT_EQ(node_.Metric("auburnfold_connections_replaced_total"), 0);
}

TEST_F(a_call_whose_answer_takes_long, WaitsWhereThePeerSaysSomethingUnknown) {
  EXPECT_EQ(Call("on-holiday", 1).status, 200U);
  EXPECT_EQ(requests_, 1);
}

// The class of the call may not be executed twice, and was not.
TEST_F(a_call_whose_answer_takes_long, IsSentAgainIfItNeverArrived) {
  const read_answer answer = Call("never-arrived", 1000);
  EXPECT_EQ(answer.status, 200U);
  EXPECT_EQ(answer.body, "done");
  EXPECT_EQ(requests_, 2);
  EXPECT_EQ(node_.Metric("auburnfold_requests_never_arrived_total"), 1);
}

class a_node_that_is_asked : public testing::Test {
 protected:
  a_node_that_is_asked() { node_.AnnouncePeer("tracking", peer_.port()); }

  // As the peer that the node knows, in run 7.
  std::string Work(const std::string& attempt) const {
    return CallText("listings",
                    "Auburnfold-From: 63\r\nAuburnfold-Sent: 7-" + attempt +
                        "\r\nAuburnfold-Expected-Run: " + run() + "\r\n");
  }

  read_answer Ask(const std::string& body) const {
    return raw_client::Exchange(
        node_.peer_port(),
        "POST /auburnfold/v1/attempts HTTP/1.1\r\nHost: test\r\n"
        "Content-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body);
  }

  read_answer AskAbout(const std::string& attempt,
                       const std::string& node = "99",
                       const std::string& sender_run = "7") const {
    return Ask(R"({"node":)" + node + R"(,"run":)" + sender_run +
               R"(,"expectedRun":)" + run() + R"(,"attempts":[{"attempt":)" +
               attempt + "}]}");
  }

  std::string run() const { return std::to_string(node_.run().value()); }

  static void ExpectState(const read_answer& answer, std::string_view state) {
    EXPECT_EQ(answer.status, 200U);
    EXPECT_NE(answer.body.find(R"("state":")" + std::string(state) + '"'),
              std::string::npos)
        << answer.body;
  }

  running_node node_;
  scripted_server peer_{AnswersWith("")};
};

TEST_F(a_node_that_is_asked,
       SaysThatAnAttemptIsAtWorkAndThenThatItWasAnswered) {
  std::promise<void> finish;
  scripted_server endpoint([&finish](scripted_connection& connection) {
    if (connection.ReadRequest()) {
      finish.get_future().wait();
      connection.Write(AnswerText("done"));
    }
  });
  node_.Announce("listings", endpoint.port());
  raw_client sender(node_.peer_port());
  sender.Write(Work("3"));
  node_.WaitForMetric("auburnfold_work_started_total", 1);
  ExpectState(AskAbout("3"), "at-work");
  finish.set_value();
  EXPECT_EQ(sender.Read()->body, "done");
  ExpectState(AskAbout("3"), "answered");
}

TEST_F(a_node_that_is_asked, RefusesAnAttemptThatItSaidHadNeverArrived) {
  scripted_server endpoint(AnswersWith("done"));
  node_.Announce("listings", endpoint.port());
  ExpectState(AskAbout("3"), "never-arrived");
  const read_answer late = raw_client::Exchange(node_.peer_port(), Work("3"));
  EXPECT_EQ(late.Header("Auburnfold-Ran"), "not-run");
  // Its sender may not have heard the denial, and sends it again.
  EXPECT_EQ(late.Header("Auburnfold-Result"), "endpoint-unreachable");
  EXPECT_EQ(node_.Metric("auburnfold_work_started_total"), 0);
  EXPECT_EQ(node_.Metric("auburnfold_withdrawn_attempts_total"), 1);
  EXPECT_EQ(raw_client::Exchange(node_.peer_port(), Work("4")).body, "done");
}

TEST_F(a_node_that_is_asked, DoesNotDenyARequestThatIsStillArriving) {
  scripted_server endpoint(AnswersWith("done"));
  node_.Announce("listings", endpoint.port());
  const std::string work = Work("3");
  raw_client sender(node_.peer_port());
  sender.Write(work.substr(0, work.size() / 2));
  sender.WaitUntilReceived();
  read_answer answer;
  do {
    answer = AskAbout("9");
  } while (answer.body.find("unknown") == std::string::npos);
  ExpectState(AskAbout("3"), "unknown");
  sender.Write(work.substr(work.size() / 2));
  EXPECT_EQ(sender.Read()->body, "done");
}

TEST_F(a_node_that_is_asked, KnowsNothingAboutWhatWentToAnEarlierRun) {
  const read_answer answer =
      Ask(R"({"node":99,"run":7,"expectedRun":1,"attempts":[{"attempt":3}]})");
  ExpectState(answer, "unknown");
}

TEST_F(a_node_that_is_asked, TellsStrangersNothing) {
  const read_answer answer = AskAbout("3", "98");
  EXPECT_EQ(answer.status, 403U);
  EXPECT_EQ(answer.body, "only the node that sent an attempt may ask\n");
}

TEST_F(a_node_that_is_asked, RejectsMalformedQuestions) {
  for (const std::string body :
       {"", "[]", "{}", R"({"node":99})",
        R"({"node":99,"run":7,"expectedRun":1,"attempts":[3]})",
        R"({"node":-1,"run":7,"expectedRun":1,"attempts":[]})",
        R"({"node":99,"run":7,"expectedRun":1e99,"attempts":[]})"}) {
    EXPECT_EQ(Ask(body).status, 400U) << body;
  }
}

}  // namespace
}  // namespace auburnfold::testing_support
