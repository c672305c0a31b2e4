#include "disruptor.h"

#include <csignal>
#include <fstream>
#include <utility>

namespace auburnfold::soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{500};
constexpr milliseconds kStep{20};
constexpr milliseconds kRestartPatience{20'000};
constexpr const char* kGetReady = "GET /ready HTTP/1.1\r\nHost: soak\r\n\r\n";

}  // namespace

disruptor::disruptor(std::string folder,
                     std::uint16_t store_port,
                     std::vector<node_ports> nodes,
                     std::vector<std::unique_ptr<soak_endpoint>>& endpoints,
                     std::uint64_t seed,
                     traffic_record& record)
    : folder_(std::move(folder)),
      store_port_(store_port),
      nodes_(std::move(nodes)),
      endpoints_(endpoints),
      random_(seed),
      record_(record) {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    is_restarting_.push_back(std::make_unique<std::atomic<bool>>(false));
  }
}

void disruptor::Run(const std::atomic<bool>& is_over) {
  while (!is_over) {
    Begin();
    const moment next = soak_clock::now() + milliseconds(Random(2500));
    while (!is_over && soak_clock::now() < next) {
      std::this_thread::sleep_for(kStep);
    }
  }
  for (std::thread& each : running_) {
    each.join();
  }
}

void disruptor::Begin() {
  const std::size_t node = ChooseNode();
  const milliseconds length(200 + Random(1800));
  const std::size_t other = ChooseNode();
  switch (Random(9)) {
    case 0:
      return Start(
          [=, this] { Restart(node, SIGKILL, disruption_kind::kUnplanned); });
    case 1:
      return Start(
          [=, this] { Restart(node, SIGTERM, disruption_kind::kPlanned); });
    case 2:  // In series.
      return Start([=, this] {
        Restart(node, SIGTERM, disruption_kind::kPlanned);
        Restart(other, SIGTERM, disruption_kind::kPlanned);
      });
    case 3:
      return Start([=, this] { Pause(node, length); });
    case 4:
      return Start([=, this] { Reload(node); });
    case 5:
      return Start([=, this, loses_answers = Random(2) == 0] {
        DisturbStore(length, loses_answers);
      });
    case 6:
      return Start([=, this, stopped_before = milliseconds(Random(2500))] {
        LeaveDuringStop(node, stopped_before, length);
      });
    default: {
      const milliseconds late_report(Random(2) * (1000 + Random(3000)));
      const milliseconds kill_after(100 + Random(700));
      const bool is_killed = Random(3) > 0;
      return Start(
          [=, this] { Leave(node, late_report, is_killed, kill_after); });
    }
  }
}

void disruptor::Start(std::function<void()> action) {
  running_.emplace_back(std::move(action));
}

bool disruptor::Signal(std::size_t node, int signal_number) const {
  std::ifstream file(folder_ + "/node-" + std::to_string(node) + ".pid");
  pid_t pid = 0;
  file >> pid;
  return pid > 0 && kill(pid, signal_number) == 0;
}

bool disruptor::IsReady(std::size_t node) const {
  return Call(nodes_[node].ready, kGetReady, kTimeout) == 200;
}

// The process may still be ready when a signal has just been sent.
void disruptor::Restart(std::size_t node,
                        int signal_number,
                        disruption_kind kind) {
  if (is_restarting_[node]->exchange(true)) {
    return;
  }
  const std::size_t disruption = record_.OnDisrupted(
      node, kind, signal_number == SIGKILL ? "SIGKILL" : "SIGTERM");
  const moment until = soak_clock::now() + kRestartPatience;
  if (Signal(node, signal_number)) {
    while (IsReady(node) && soak_clock::now() < until) {
      std::this_thread::sleep_for(kStep);
    }
    while (!IsReady(node) && soak_clock::now() < until) {
      std::this_thread::sleep_for(kStep);
    }
  }
  record_.OnDisruptionEnded(disruption);
  *is_restarting_[node] = false;
}

void disruptor::Pause(std::size_t node, milliseconds length) {
  const std::size_t disruption =
      record_.OnDisrupted(node, disruption_kind::kUnplanned, "SIGSTOP");
  Signal(node, SIGSTOP);
  std::this_thread::sleep_for(length);
  Signal(node, SIGCONT);
  record_.OnDisruptionEnded(disruption);
}

void disruptor::Reload(std::size_t node) {
  const std::size_t disruption =
      record_.OnDisrupted(node, disruption_kind::kPlanned, "SIGHUP");
  Signal(node, SIGHUP);
  record_.OnDisruptionEnded(disruption);
}

void disruptor::SetStoreFaults(const std::string& faults) const {
  Call(store_port_,
       RequestText("PUT", "/test/faults", "Host: soak\r\n", faults), kTimeout);
}

void disruptor::DisturbStore(milliseconds length, bool loses_answers) {
  const std::size_t disruption = record_.OnDisrupted(
      0, disruption_kind::kStore,
      loses_answers ? "store loses answers" : "store closes connections");
  SetStoreFaults(loses_answers ? R"({"lose_answers":3})"
                               : R"({"outage":"closes"})");
  std::this_thread::sleep_for(length);
  SetStoreFaults(R"({"outage":"none","lose_answers":0})");
  record_.OnDisruptionEnded(disruption);
}

void disruptor::Leave(std::size_t node,
                      milliseconds late_report,
                      bool is_killed,
                      milliseconds kill_after) {
  std::thread killing;
  endpoints_[node]->Leave(late_report, [&] {
    if (is_killed) {
      killing = std::thread([=, this] {
        std::this_thread::sleep_for(kill_after);
        Restart(node, SIGKILL, disruption_kind::kUnplanned);
      });
    }
  });
  if (killing.joinable()) {
    killing.join();
  }
}

void disruptor::LeaveDuringStop(std::size_t node,
                                milliseconds stopped_before,
                                milliseconds late_report) {
  std::thread stopping(
      [=, this] { Restart(node, SIGTERM, disruption_kind::kPlanned); });
  std::this_thread::sleep_for(stopped_before);
  endpoints_[node]->Leave(late_report, [] {});
  stopping.join();
}

}  // namespace auburnfold::soak
