#ifndef TESTS_SOAK_TRAFFIC_RECORD_H_
#define TESTS_SOAK_TRAFFIC_RECORD_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace auburnfold::soak {

using soak_clock = std::chrono::steady_clock;
using moment = soak_clock::time_point;

/// A rule that nodes may break. See the rules of the platform.
enum class rule : std::uint8_t {
  kTwice,       ///< A request that may run once has run more often.
  kRefused,     ///< It was refused as not executed, and has run.
  kMixed,       ///< A wrong, foreign or incomplete answer looks complete.
  kUnasked,     ///< An endpoint ran what no client sent.
  kLost,        ///< It was passed on, and its connection closed without answer.
  kDrain,       ///< It ran at an endpoint whose leave was acknowledged.
  kDenied,      ///< A proper request was rejected as malformed or unknown.
  kUnanswered,  ///< It has no answer long after its deadline.
};

const char* NameOf(rule broken);

struct finding {
  rule broken;
  std::string text;
};

/// A request as its client sends it.
struct sent_request {
  std::string id;
  std::string method;
  std::string target;
  std::size_t body_bytes = 0;
  std::size_t extra_bytes = 0;
  bool may_repeat = false;
  /// The node that it was sent to.
  std::size_t node = 0;
};

/// How the client's part of a request ended.
enum class request_end : std::uint8_t {
  kAnswered,
  kClosed,  ///< The node closed the connection.
  kLeft,    ///< The client closed the connection.
};

/// What disturbs a node.
enum class disruption_kind : std::uint8_t {
  kPlanned,    ///< SIGTERM or SIGHUP.
  kUnplanned,  ///< It was killed or paused.
  kStore,      ///< The key-value store was disturbed, for all nodes.
};

/// Text that depends on `id` and has `size` bytes.
std::string TextOf(const std::string& id, std::size_t size);

/// The record that clients and endpoints keep of what they see on their
/// connections, and the rules that it is judged by. Safe to use from several
/// threads.
class traffic_record {
 public:
  /// Writes leaves, disruptions and odd ends of requests to `log`, with the
  /// seconds since the record began.
  explicit traffic_record(std::ostream& log) : log_(log) {}

  void OnSent(const sent_request& request);
  /// `problem` says what is wrong with an answer; empty if nothing is.
  void OnAnswered(const std::string& id,
                  unsigned status,
                  const std::string& problem);
  void OnEnded(const std::string& id, request_end end);
  /// An answer came while no request of `client` waited for one.
  void OnUnexpectedAnswer(const std::string& client);

  /// An endpoint begins to run a request. Returns the number of the run.
  std::size_t OnRun(std::size_t endpoint,
                    const std::string& id,
                    const std::string& method,
                    const std::string& target,
                    bool is_content_whole);
  /// The endpoint itself broke off the run, or has ended.
  void OnBrokenOff(std::size_t run);

  /// The node of `endpoint` acknowledged at `when` that it leaves.
  void OnLeaveAcknowledged(std::size_t endpoint, moment when);
  /// Another run of the endpoint begins.
  void OnEndpointStarted(std::size_t endpoint);

  /// Returns the number of the disruption, which lasts until it is ended.
  std::size_t OnDisrupted(std::size_t node,
                          disruption_kind kind,
                          const std::string& what);
  void OnDisruptionEnded(std::size_t disruption);

  /// Requests whose clients still wait.
  std::size_t CountOpen() const;
  /// One line about what was sent and what became of it.
  std::string Summary() const;
  /// Every broken rule, at the end of the run.
  std::vector<finding> Judge() const;

 private:
  struct request_facts {
    sent_request request;
    moment sent_at;
    std::optional<request_end> end;
    moment ended_at;
    unsigned status = 0;
    std::vector<std::size_t> runs;
  };
  struct run_facts {
    std::size_t endpoint = 0;
    moment at;
    bool is_broken_off = false;
    bool is_late = false;
  };
  struct disruption {
    std::size_t node = 0;
    disruption_kind kind = disruption_kind::kUnplanned;
    moment began;
    std::optional<moment> ended;
  };

  void Log(const std::string& text);
  bool IsDisrupted(std::size_t node, moment from, moment until) const;
  bool HasPlannedWork(std::size_t node, moment from, moment until) const;
  bool HasUnplannedWork(moment from, moment until) const;
  void JudgeRequest(const request_facts& facts,
                    std::vector<finding>& findings) const;
  bool IsLost(const request_facts& facts, bool& is_planned) const;
  void JudgeDrain(const request_facts& facts,
                  std::vector<finding>& findings) const;

  std::ostream& log_;
  const moment began_ = soak_clock::now();
  mutable std::mutex mutex_;
  std::map<std::string, request_facts> requests_;
  std::vector<run_facts> runs_;
  /// What was found as it was recorded.
  std::vector<finding> found_;
  std::vector<disruption> disruptions_;
  /// When the leave of the endpoint's present run was acknowledged.
  std::map<std::size_t, moment> leaves_;
  std::map<std::string, std::string> problems_;
};

}  // namespace auburnfold::soak

#endif  // TESTS_SOAK_TRAFFIC_RECORD_H_
