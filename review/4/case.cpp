// A node that was restarted sends requests to an upstream whose leave it had
// acknowledged, because of a heartbeat that is seconds late.
#include "../harness.hpp"

namespace review {

void RunLate(const std::string& folder) {
  constexpr double kDrainS = 2;
  constexpr double kStableWindowS = 3;
  deployment all({"booking", "gate", "gate"}, folder, {});
  const auto choose = [](const message&) { return work{.ms = 80}; };
  if (!all.Start(choose) || !Serves(all, {"/gate-read/a"})) {
    Finish(all, kCannotRun, "the deployment does not serve");
  }
  upstream& leaving = *all.upstreams[1];
  // A service with little traffic: six calls at once, once a second.
  constexpr int kCallsAtOnce = 6;
  std::atomic<bool> is_over{false};
  std::atomic<int> bursts{0};
  std::thread client([&] {
    while (!is_over) {
      const auto next = clock_type::now() + milliseconds(1000);
      std::vector<std::thread> calls;
      for (int i = 0; i < kCallsAtOnce; ++i) {
        const std::string id =
            "call" + std::to_string(bursts) + "x" + std::to_string(i);
        calls.emplace_back([&all, id] {
          record.Line("sent " + id);
          const auto answer =
              Call(all.hosts[0], all.at.outbound,
                   Request("GET", "/gate-read/" + id, id, 3000), 3000);
          record.Line("answered " + id + ": " +
                      (answer ? answer->start : "nothing"));
        });
      }
      for (std::thread& each : calls) {
        each.join();
      }
      ++bursts;
      std::this_thread::sleep_until(next);
    }
  });
  Pause(2000);
  // The last heartbeat is on its way for seconds; the farewell, sent after it
  // and without a word of draining before, overtakes it.
  leaving.StopBeats();
  Pause(1600);
  for (const int known = bursts; known == bursts;) {
    Pause(5);
  }
  Pause(100);
  const json late = leaving.Heartbeat("ready");
  const int status = leaving.Delete();
  const double acknowledged = Seconds();
  record.Line("DELETE of i-2 answered with " + std::to_string(status));
  if (status != 200) {
    Finish(all, kCannotRun, "the farewell was not acknowledged");
  }
  Pause(500);
  double in_touch = acknowledged;
  if (HasTrouble()) {
    all.nodes[1]->End(SIGKILL);
    record.Line("node " + all.hosts[1] + " killed");
    Pause(300);
    all.nodes[1]->Start();
    all.nodes[1]->WaitUntilReady();
    in_touch = Seconds() + kStableWindowS;
  } else {
    Pause(400);
  }
  Pause(2000);
  const int late_status = leaving.Send(late);
  record.Line("late heartbeat of i-2 answered with " +
              std::to_string(late_status));
  // The upstream serves on for a while, and is gone then.
  Pause(9000);
  is_over = true;
  client.join();
  // DRAIN: later than `drainS` after the acknowledgement, at machines in touch.
  const double bound = std::max(acknowledged + kDrainS, in_touch);
  int late_runs = 0;
  for (const arrival& run : leaving.Arrivals()) {
    late_runs += run.at_s > bound ? 1 : 0;
  }
  Finish(all, late_runs > 0 ? kBroken : kHeld,
         std::to_string(late_runs) +
             " requests reached an upstream later than drainS after the "
             "acknowledgement of its leave, counted from " +
             std::to_string(bound) + " s on");
}

}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv, review::RunLate);
}
