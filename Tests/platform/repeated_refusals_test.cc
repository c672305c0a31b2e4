#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <variant>

#include "LibRuntime/Observability/node_metrics.h"
#include "LibRuntime/Requests/own_dialect.h"
#include "LibRuntime/Requests/work_handler.h"
#include "platform/platform_dialect.h"
#include "raw_client.h"
#include "running_node.h"
#include "scripted_server.h"

namespace auburnfold::testing_support {
namespace {

/// The endpoints of the platform. Calls and reports are those of the own
/// dialect, which need no key-value store.
class endpoints_of_the_platform : public platform::platform_dialect {
 public:
  endpoints_of_the_platform() : platform_dialect(service_name("listings")) {}

  leaf::result<caller_request> ReadCallerRequest(
      const http_request& request) const {
    return own_dialect().ReadCallerRequest(request);
  }
  bool IsReport(const http_request& request) const {
    return own_dialect().IsReport(request);
  }
  leaf::result<endpoint_report> ReadReport(const http_request& request) const {
    return own_dialect().ReadReport(request);
  }
};

std::string IdLine(std::string_view id) {
  return id.empty() ? "" : "X-Request-Id: " + std::string(id) + "\r\n";
}

std::string IdOf(const std::string& request) {
  const std::string name = "X-Request-Id: ";
  const std::size_t begin = request.find(name) + name.size();
  return request.substr(begin, request.find("\r\n", begin) - begin);
}

// A node and its endpoint. The parameter is the head of the endpoint's
// refusals.
class a_refusal : public testing::TestWithParam<const char*> {
 protected:
  // Ends the scripts, which use the members, before these are destroyed.
  ~a_refusal() override { endpoint_.reset(); }

  void StartEndpoint(scripted_server::script script) {
    endpoint_ = std::make_unique<scripted_server>(std::move(script));
    node_.Announce("listings", endpoint_->port());
  }

  /// A refusal that names no request if `id` is empty.
  static std::string Refusal(std::string_view id) {
    return "HTTP/1.1 " + std::string(GetParam()) + IdLine(id) +
           "Content-Length: 0\r\n\r\n";
  }

  /// Executes the request.
  std::string Run(std::string_view id) {
    ++runs_;
    return AnswerText("done", IdLine(id) + "X-Response-Signature: 1\r\n");
  }

  /// Sends a request that another node forwards. After a 421 the node forwards
  /// nothing to the endpoint for a moment.
  read_answer Forward(const std::string& id) const {
    for (;;) {
      read_answer answer = raw_client::Exchange(
          node_.peer_port(),
          CallText("listings", node_.ForwardedHeaders() + IdLine(id)));
      if (answer.Header("Auburnfold-Result") != "endpoint-unreachable") {
        return answer;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
  }

  static void ExpectNotRun(const read_answer& answer) {
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(answer.Header("Auburnfold-Ran"), "not-run");
  }

  void ExpectRunOnce(const read_answer& answer) const {
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(answer.body, "done");
    EXPECT_EQ(answer.Header("Auburnfold-Result"), "complete");
    EXPECT_EQ(runs_, 1);
  }

  running_node node_{LoopbackSettings(),
                     any_wire_dialect(endpoints_of_the_platform())};
  std::atomic<int> runs_ = 0;
  std::atomic<std::uint64_t> connections_ = 0;
  std::unique_ptr<scripted_server> endpoint_;
};

class a_refusal_that_is_written_once : public a_refusal {
 protected:
  /// Refuses all requests; names them if `names_requests`.
  void StartRefusing(bool names_requests) {
    StartEndpoint([this, names_requests](scripted_connection& connection) {
      ++connections_;
      while (const auto request = connection.ReadRequest()) {
        connection.Write(Refusal(names_requests ? IdOf(*request) : ""));
      }
    });
  }
};

TEST_P(a_refusal_that_is_written_once, IsBelieved) {
  StartRefusing(true);
  for (const char* id : {"r1", "r2", "r3"}) {
    ExpectNotRun(Forward(id));
  }
  EXPECT_EQ(connections_, 1U);
}

TEST_P(a_refusal_that_is_written_once, IsBelievedThoughItNamesNoRequest) {
  StartRefusing(false);
  for (const char* id : {"r1", "r2", "r3"}) {
    ExpectNotRun(Forward(id));
  }
}

TEST_P(a_refusal_that_is_written_once, IsBelievedEachTimeTheRequestComesBack) {
  StartRefusing(true);
  for (int i = 0; i < 3; ++i) {
    ExpectNotRun(Forward("r1"));
  }
}

// The endpoint refuses the first request. On that connection it writes the
// refusal once more ahead of the answer to the next request, which it executes.
class a_refusal_that_is_written_once_more : public a_refusal {
 protected:
  ~a_refusal_that_is_written_once_more() override { endpoint_.reset(); }

  void StartRepeating(bool names_requests = true) {
    StartEndpoint([this, names_requests](scripted_connection& connection) {
      std::optional<std::string> refusal;
      while (const auto request = connection.ReadRequest()) {
        if (!has_refused_.exchange(true)) {
          refusal = Refusal(names_requests ? IdOf(*request) : "");
          connection.Write(*refusal);
          continue;
        }
        if (refusal) {
          connection.Write(*refusal);
        }
        connection.Write(Run(IdOf(*request)));
      }
    });
  }

  std::atomic<bool> has_refused_ = false;
};

TEST_P(a_refusal_that_is_written_once_more, IsNotTheAnswerToAnotherRequest) {
  StartRepeating();
  ExpectNotRun(Forward("r1"));
  ExpectRunOnce(Forward("r2"));
}

TEST_P(a_refusal_that_is_written_once_more,
       IsNotTheAnswerToTheSameRequestThatComesBack) {
  StartRepeating();
  ExpectNotRun(Forward("r1"));
  ExpectRunOnce(Forward("r1"));
}

TEST_P(a_refusal_that_is_written_once_more,
       IsNotTheAnswerToAnotherRequestIfItNamesNone) {
  StartRepeating(false);
  ExpectNotRun(Forward("r1"));
  ExpectRunOnce(Forward("r2"));
}

// The node itself sends the request once more, which the endpoint executes.
TEST_P(a_refusal_that_is_written_once_more, IsNotWhatTheCallerIsTold) {
  StartRepeating();
  const read_answer answer = raw_client::Exchange(
      node_.call_port(), CallText("listings", IdLine("r1")));
  // Ends once it has read what was sent to it.
  endpoint_.reset();
  EXPECT_EQ(runs_, answer.status == 200 ? 1 : 0) << answer.status;
}

// The endpoint writes the refusal twice before it reads another request.
class a_refusal_that_is_written_twice : public a_refusal {
 protected:
  ~a_refusal_that_is_written_twice() override { endpoint_.reset(); }

  void StartRefusing(const std::function<void(scripted_connection&)>& refuse) {
    StartEndpoint([this, refuse](scripted_connection& connection) {
      while (const auto request = connection.ReadRequest()) {
        if (connection.number() == 0) {
          refuse(connection);
          is_closed_.set_value(!connection.ReadRequest());
          return;
        }
        connection.Write(Run(IdOf(*request)));
      }
    });
  }

  std::promise<bool> is_closed_;
};

TEST_P(a_refusal_that_is_written_twice, ClosesTheConnectionIfBothComeAtOnce) {
  StartRefusing([](scripted_connection& connection) {
    connection.Write(Refusal("r1") + Refusal("r1"));
  });
  ExpectNotRun(Forward("r1"));
  EXPECT_TRUE(is_closed_.get_future().get());
  ExpectRunOnce(Forward("r2"));
}

TEST_P(a_refusal_that_is_written_twice,
       ClosesTheConnectionIfTheSecondComesLate) {
  std::promise<void> is_refused;
  StartRefusing([&is_refused](scripted_connection& connection) {
    connection.Write(Refusal("r1"));
    is_refused.get_future().wait();
    connection.Write(Refusal("r1"));
  });
  ExpectNotRun(Forward("r1"));
  is_refused.set_value();
  EXPECT_TRUE(is_closed_.get_future().get());
  ExpectRunOnce(Forward("r2"));
}

// A probe names no request, so neither does the answer to it.
class a_health_probe : public testing::Test {
 protected:
  /// The endpoint that the node takes the answer to be from; empty if none.
  std::string ProbeAgainst(std::string answers) {
    scripted_server endpoint(
        [answers = std::move(answers)](scripted_connection& connection) {
          connection.ReadRequest();
          connection.Write(answers);
          connection.ReadRequest();
        });
    asio::io_context io;
    const node_identity self;
    node_metrics metrics(1);
    std::string name;
    const any_wire_dialect dialect{endpoints_of_the_platform()};
    work_handler works(
        io, self, dialect, [this] { return connection_id(++last_connection_); },
        [&](const event_content& event) {
          if (const auto* reported = std::get_if<endpoint_reported>(&event)) {
            name = reported->name.value();
          }
          io.stop();
        },
        metrics);
    works.SetEndpointAddress(
        {asio::ip::address_v4::loopback(), endpoint.port()});
    works.ProbeEndpoint("/health");
    io.run_for(std::chrono::seconds(5));
    return name;
  }

  std::uint64_t last_connection_ = 0;
};

TEST_F(a_health_probe, IsNotAnsweredByARefusalThatNamesARequest) {
  EXPECT_EQ(ProbeAgainst("HTTP/1.1 503 Service Unavailable\r\n"
                         "X-Not-Executed: 1\r\nX-Request-Id: r1\r\n"
                         "Content-Length: 0\r\n\r\n" +
                         AnswerText("", "X-Instance-Id: i-7\r\n")),
            "i-7");
}

constexpr std::array kRefusals{
    "503 Service Unavailable\r\nX-Not-Executed: 1\r\n",
    "429 Too Many Requests\r\nX-Not-Executed: 1\r\n",
    "421 Misdirected Request\r\n"};

INSTANTIATE_TEST_SUITE_P(Every,
                         a_refusal_that_is_written_once,
                         testing::ValuesIn(kRefusals));
INSTANTIATE_TEST_SUITE_P(Every,
                         a_refusal_that_is_written_once_more,
                         testing::ValuesIn(kRefusals));
INSTANTIATE_TEST_SUITE_P(Every,
                         a_refusal_that_is_written_twice,
                         testing::ValuesIn(kRefusals));

}  // namespace
}  // namespace auburnfold::testing_support
