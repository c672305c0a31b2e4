// The reducer's cost for one whole call: all events at the node that takes the
// call and at the node beside the endpoint. Bound: 5 µs a call.
#include <benchmark/benchmark.h>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kEntropy = 0x9e3779b97f4a7c15;
constexpr duration kBetweenEvents = 20us;

/// One node that is on both sides of each call, since its own endpoint is the
/// only one of the service.
class both_sides {
 public:
  both_sides() {
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    Happen(endpoint_reported{.service = service_name("listings")});
    facts_.root = request_id("000661c2ab8bc208-0000000000000001");
    facts_.service = service_name("listings");
    facts_.request_class = class_name("lookup");
    facts_.tenant = tenant_name("default");
    facts_.time_left = 250ms;
  }

  /// False if the call did not end with its whole answer.
  bool RunOneCall() {
    const call_id call(++calls_);
    const auto sent = Find<send_attempt>(
        Happen(call_arrived{.call = call, .metadata = facts_}));
    if (!sent) {
      return false;
    }
    Happen(attempt_sent{sent->attempt, connection_id(1)});
    const work_id work(calls_);
    const auto run = Find<execute_work>(
        Happen(work_arrived{.work = work,
                            .from = node_id(1),
                            .metadata = sent->metadata,
                            .expected_run = sent->expected_run}));
    if (!run) {
      return false;
    }
    Happen(work_sent{work, connection_id(2)});
    const auto answer =
        Find<relay_work_answer>(Happen(work_finished{work, outcome{}}));
    if (!answer) {
      return false;
    }
    outcome whole;
    whole.peer = answer->metadata;
    return Find<relay_answer>(Happen(attempt_finished{sent->attempt, whole}))
        .has_value();
  }

 private:
  effects Happen(event_content content) {
    now_ += kBetweenEvents;
    return Reduce(state_, {now_, ++entropy_, std::move(content)});
  }

  template <class wanted>
  static std::optional<wanted> Find(effects made) {
    for (effect& each : made) {
      if (auto* found = std::get_if<wanted>(&each)) {
        return std::move(*found);
      }
    }
    return std::nullopt;
  }

  node_state state_;
  instant now_{};
  std::uint64_t entropy_ = kEntropy;
  std::uint64_t calls_ = 0;
  request_metadata facts_;
};

void BM_DecisionsOfOneCall(benchmark::State& state) {
  both_sides node;
  for (auto _ : state) {
    if (!node.RunOneCall()) {
      state.SkipWithError("a call did not get its whole answer");
      break;
    }
  }
}
BENCHMARK(BM_DecisionsOfOneCall);

}  // namespace
}  // namespace auburnfold
