#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

/// Times at work of one class: some requests take `tail` times the median.
struct service_times {
  duration median = 40ms;
  double tail_share = 0.05;
  int tail = 30;
};

/// A node that calls two others, whose connections all work, on virtual time.
class healthy_fleet {
 public:
  healthy_fleet(const service_times& times,
                const node_options& options,
                std::uint64_t seed)
      : times_(times), node_(options), random_(seed) {
    Happen(node_started{.node = node_id(1), .run = incarnation(1)});
    member_update members;
    for (std::uint64_t node = 2; node <= 3; ++node) {
      members.records.push_back({.node = node_id(node),
                                 .run = incarnation(1),
                                 .version = 1,
                                 .service = service_name("tracking")});
    }
    Happen(message_received{{.from = node_id(2), .content = members}});
    row_update rows;
    rows.rows.push_back({.service = service_name("tracking"),
                         .request_class = class_name("status"),
                         .version = row_version(1),
                         .settings = {.is_idempotent = true}});
    Happen(message_received{{.from = node_id(2), .content = rows}});
  }

  /// Calls arrive at random, on average one each `gap`.
  void Offer(int calls, duration gap) {
    std::exponential_distribution<double> gaps(1);
    duration at{};
    for (int i = 0; i < calls; ++i) {
      at += std::chrono::duration_cast<duration>(gap * gaps(random_));
      At(now_ + at, [this] { Call(); });
    }
  }

  void StopAfter(duration delay) {
    At(now_ + delay, [this] { Happen(stop_requested{}); });
  }

  /// Long enough for every answer.
  void Run() {
    const instant end = now_ + 10s;
    while (!schedule_.empty() && schedule_.top().at <= end) {
      const scheduled next = schedule_.top();
      schedule_.pop();
      now_ = next.at;
      next.action();
    }
  }

  int answered() const { return answered_; }
  int failed() const { return failed_; }
  /// Attempts that were cancelled while they were at work.
  int cut() const { return cut_; }
  int queries() const { return queries_; }

 private:
  struct scheduled {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void At(instant when, std::function<void()> action) {
    schedule_.push({when, next_order_++, std::move(action)});
  }

  void Happen(event_content content) {
    for (const effect& each :
         Reduce(node_, {now_, random_(), std::move(content)})) {
      std::visit([this](const auto& made) { On(made); }, each);
    }
  }

  void Call() {
    call_arrived arrived{.call = call_id(++calls_)};
    arrived.metadata.root = request_id(std::to_string(calls_));
    arrived.metadata.own_id = arrived.metadata.root;
    arrived.metadata.service = service_name("tracking");
    arrived.metadata.request_class = class_name("status");
    arrived.metadata.time_left = 60s;
    arrived.metadata.client_attempt = 1;
    Happen(arrived);
  }

  duration TimeAtWork() {
    const bool is_slow = std::uniform_real_distribution<double>(0, 1)(random_) <
                         times_.tail_share;
    const double spread =
        std::uniform_real_distribution<double>(0.7, 1.3)(random_);
    return std::chrono::duration_cast<duration>(
        times_.median * (is_slow ? times_.tail : 1) * spread);
  }

  void On(const send_attempt& sent) {
    std::vector<connection_id>& idle = idle_[sent.node];
    connection_id connection(next_connection_++);
    if (!idle.empty()) {
      connection = idle.back();
      idle.pop_back();
    }
    const attempt_id attempt = sent.attempt;
    at_work_[attempt] = {sent.node, connection};
    At(now_, [this, attempt, connection] {
      if (at_work_.contains(attempt)) {
        Happen(attempt_sent{attempt, connection});
      }
    });
    At(now_ + TimeAtWork(), [this, attempt] { Answer(attempt); });
  }

  void Answer(attempt_id attempt) {
    const auto found = at_work_.find(attempt);
    if (found == at_work_.end()) {
      return;
    }
    idle_[found->second.node].push_back(found->second.connection);
    at_work_.erase(found);
    outcome whole;
    whole.peer = answer_metadata{};
    Happen(attempt_finished{attempt, whole});
  }

  void On(const cancel_attempt& cancelled) {
    cut_ += static_cast<int>(at_work_.erase(cancelled.attempt));
  }
  void On(const query_attempts& asked) {
    attempt_reports_received answer{.query = asked.query, .reports = {{}}};
    for (const attempt_id attempt : asked.attempts) {
      const bool is_at_work = at_work_.contains(attempt);
      answer.reports->push_back({attempt, is_at_work
                                              ? attempt_state::kAtWork
                                              : attempt_state::kAnswered});
    }
    queries_ += 1;
    At(now_ + 2ms, [this, answer] { Happen(answer); });
  }
  void On(const close_idle_connection& closed) {
    for (auto& [node, idle] : idle_) {
      std::erase(idle, closed.connection);
    }
  }
  void On(const wake_at& wake) {
    At(std::max(wake.when, now_), [this] { Happen(time_passed{}); });
  }
  void On(const relay_answer&) { ++answered_; }
  void On(const refuse_call&) { ++failed_; }
  template <class other>
  void On(const other&) {}

  struct open_attempt {
    node_id node;
    connection_id connection;
  };

  service_times times_;
  node_state node_;
  std::mt19937_64 random_;
  instant now_{};
  std::uint64_t calls_ = 0;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_order_ = 0;
  std::unordered_map<attempt_id, open_attempt> at_work_;
  std::map<node_id, std::vector<connection_id>> idle_;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>>
      schedule_;
  int answered_ = 0;
  int failed_ = 0;
  int cut_ = 0;
  int queries_ = 0;
};

/// Guards against taking a slow answer for a silent connection, which cuts
/// sound work and ends requests as unknown.
class a_class_with_a_long_tail : public testing::TestWithParam<retry_mode> {
 protected:
  static constexpr int kSeeds = 2000;
  static constexpr int kCalls = 200;
};

TEST_P(a_class_with_a_long_tail, IsNeverGivenUpForBeingSlow) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    healthy_fleet fleet({}, {.retries = GetParam()}, seed);
    fleet.Offer(kCalls, 10ms);
    fleet.Run();
    ASSERT_EQ(fleet.cut(), 0) << "seed " << seed;
    ASSERT_EQ(fleet.failed(), 0) << "seed " << seed;
    ASSERT_EQ(fleet.answered(), kCalls) << "seed " << seed;
  }
}

TEST_P(a_class_with_a_long_tail, IsNotGivenUpByANodeThatStops) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    healthy_fleet fleet({}, {.retries = GetParam(), .stop_limit = 30s}, seed);
    fleet.Offer(kCalls, 10ms);
    fleet.StopAfter(1s);
    fleet.Run();
    ASSERT_EQ(fleet.cut(), 0) << "seed " << seed;
  }
}

// The length of the tail, the load and the time to learn all vary.
TEST_P(a_class_with_a_long_tail, IsNeverGivenUpWhateverItsTailAndLoad) {
  int queries = 0;
  int calls = 0;
  for (const int tail : {3, 10, 100, 300}) {
    for (const duration gap : {1ms, 5ms, 50ms}) {
      for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        healthy_fleet fleet({.median = 10ms, .tail = tail},
                            {.retries = GetParam()}, seed);
        fleet.Offer(kCalls, gap);
        fleet.Run();
        ASSERT_EQ(fleet.cut(), 0) << tail << " times, seed " << seed;
        ASSERT_EQ(fleet.failed(), 0) << tail << " times, seed " << seed;
        queries += fleet.queries();
        calls += kCalls;
      }
    }
  }
  // Each node may ask once before it has sent a hundred attempts.
  EXPECT_LE(queries, calls / 100 + calls / kCalls);
}

INSTANTIATE_TEST_SUITE_P(Retries,
                         a_class_with_a_long_tail,
                         testing::Values(retry_mode::kAllowance,
                                         retry_mode::kArrivals));

}  // namespace
}  // namespace auburnfold
