// Drives one node through LibDecision alone: an own loop in place of sockets
// and clocks. docs/embedding.md walks through it.

#include <chrono>
#include <deque>
#include <iostream>
#include <variant>

#include "LibDecision/reducer.h"

namespace {

using namespace auburnfold;
using namespace std::chrono_literals;

// A bench of one node. It forwards every attempt back to the same node and
// answers every work at once.
class tiny_bench {
 public:
  void Happen(event_content content) { waiting_.push_back(std::move(content)); }

  void RunUntilIdle() {
    while (!waiting_.empty()) {
      const event next{now_, next_entropy_++, waiting_.front()};
      waiting_.pop_front();
      for (const effect& each : Reduce(node_, next)) {
        std::visit([this](const auto& made) { Do(made); }, each);
      }
      now_ += 1ms;
    }
  }

 private:
  void Do(const send_attempt& made) {
    std::cout << "attempt " << made.attempt.value() << " goes to node "
              << made.node.value() << "\n";
    attempt_ = made.attempt;
    Happen(attempt_sent{made.attempt, connection_id(1)});
    Happen(work_arrived{.work = work_id(1),
                        .from = made.node,
                        .metadata = made.metadata,
                        .expected_run = made.expected_run});
  }

  void Do(const execute_work& made) {
    std::cout << "work " << made.work.value() << " runs\n";
    Happen(work_sent{made.work, connection_id(2)});
    Happen(work_finished{made.work, {}});
  }

  void Do(const relay_work_answer& made) {
    outcome whole;
    whole.peer = made.metadata;
    Happen(attempt_finished{attempt_, whole});
  }

  void Do(const relay_answer&) {
    std::cout << "the caller has its whole answer\n";
  }

  void Do(const refuse_call& made) {
    std::cout << "refused: " << TraitsOf(made.kind).name << "\n";
  }

  // What this bench has no use for.
  template <class other>
  void Do(const other&) {}

  node_state node_;
  instant now_{};
  std::uint64_t next_entropy_ = 1;
  attempt_id attempt_;
  std::deque<event_content> waiting_;
};

}  // namespace

int main() {
  tiny_bench bench;
  bench.Happen(node_started{.node = node_id(1), .run = incarnation(1)});
  bench.Happen(endpoint_reported{.service = service_name("listings")});
  request_metadata metadata;
  metadata.root = request_id("request-1");
  metadata.service = service_name("listings");
  metadata.request_class = class_name("lookup");
  metadata.time_left = 250ms;
  bench.Happen(call_arrived{.call = call_id(1), .metadata = metadata});
  bench.RunUntilIdle();
  return 0;
}
