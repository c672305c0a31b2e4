#include <tclap/CmdLine.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "disruptor.h"
#include "soak_client.h"
#include "soak_endpoint.h"
#include "traffic_record.h"

namespace auburnfold::soak {
namespace {

constexpr std::uint16_t kPortsPerNode = 6;
/// As many of the nodes as this run the service that has little traffic.
constexpr std::size_t kQuietNodes = 2;
constexpr std::size_t kFindingsShown = 20;
constexpr std::chrono::milliseconds kStartPatience{30'000};
constexpr std::chrono::milliseconds kStartInterval{100};
constexpr const char* kQuietService = "quiet";

struct options {
  std::string folder;
  std::uint16_t store_port = 0;
  std::uint16_t first_port = 0;
  std::size_t node_count = 0;
  std::size_t client_count = 0;
  std::uint64_t seed = 0;
  int seconds = 0;
};

options ParseOptions(int argc, char** argv) {
  TCLAP::CmdLine line(
      "Sends traffic through nodes, disturbs them, and judges "
      "what becomes of it. Started by soak.sh.");
  TCLAP::ValueArg<std::string> folder("", "folder", "Holds the files of nodes",
                                      true, "", "path", line);
  TCLAP::ValueArg<int> store("", "store-port", "Port of the key-value store",
                             true, 0, "port", line);
  TCLAP::ValueArg<int> port("", "first-port", "First port of the first node",
                            true, 0, "port", line);
  TCLAP::ValueArg<int> nodes("", "nodes", "Number of nodes", false, 8, "count",
                             line);
  TCLAP::ValueArg<int> clients("", "clients", "Number of clients", false, 12,
                               "count", line);
  TCLAP::ValueArg<int> seed("", "seed", "Seed of all choices", true, 0,
                            "number", line);
  TCLAP::ValueArg<int> seconds("", "seconds", "How long traffic is sent", false,
                               25, "seconds", line);
  line.parse(argc, argv);
  return {.folder = folder.getValue(),
          .store_port = static_cast<std::uint16_t>(store.getValue()),
          .first_port = static_cast<std::uint16_t>(port.getValue()),
          .node_count = static_cast<std::size_t>(nodes.getValue()),
          .client_count = static_cast<std::size_t>(clients.getValue()),
          .seed = static_cast<std::uint64_t>(seed.getValue()),
          .seconds = seconds.getValue()};
}

/// In the order of the settings that soak.sh writes.
node_ports PortsOf(const options& chosen, std::size_t node) {
  const auto first =
      static_cast<std::uint16_t>(chosen.first_port + node * kPortsPerNode);
  const auto port = [first](int offset) {
    return static_cast<std::uint16_t>(first + offset);
  };
  return {.call = port(0),
          .peer = port(1),
          .ready = port(2),
          .report = port(3),
          .admin = port(4),
          .endpoint = port(5)};
}

std::string ServiceOf(std::size_t node) {
  if (node < kQuietNodes) {
    return kQuietService;
  }
  return node % 2 == 0 ? "booking" : "gate";
}

/// Makes one call of `service` through `node`. Returns the status of the
/// answer.
unsigned CallOnce(const node_ports& ports,
                  sent_request request,
                  const std::string& service,
                  traffic_record& record) {
  request.target = '/' + service + "-read/" + request.id + "/0/0";
  record.OnSent(request);
  const unsigned status =
      Call(ports.call,
           RequestText("GET", request.target,
                       "Host: calls.example\r\nX-Request-Id: " + request.id +
                           "\r\nX-Deadline-Ms: 2000\r\nX-Extra: \r\n",
                       {}),
           std::chrono::milliseconds(2000));
  // Not judged: nodes need not serve yet.
  record.OnEnded(request.id, request_end::kLeft);
  return status;
}

/// Waits until each node serves each service. Returns whether all do in time.
bool WaitUntilServing(const std::vector<node_ports>& nodes,
                      traffic_record& record) {
  const moment until = soak_clock::now() + kStartPatience;
  int next = 0;
  for (std::size_t node = 0; node < nodes.size(); ++node) {
    for (const char* service : {"booking", "gate", kQuietService}) {
      const auto serves = [&] {
        const sent_request request{.id = "start-" + std::to_string(next++),
                                   .method = "GET",
                                   .may_repeat = true,
                                   .node = node};
        return CallOnce(nodes[node], request, service, record) == 200;
      };
      while (!serves()) {
        if (soak_clock::now() >= until) {
          return false;
        }
        std::this_thread::sleep_for(kStartInterval);
      }
    }
  }
  return true;
}

void Print(const options& chosen,
           const traffic_record& record,
           const std::vector<finding>& findings) {
  const std::string title = "seed " + std::to_string(chosen.seed) + ": ";
  std::cout << title << record.Summary() << '\n';
  std::map<std::string, int> counts;
  for (const finding& each : findings) {
    ++counts[NameOf(each.broken)];
  }
  for (std::size_t i = 0; i < std::min(findings.size(), kFindingsShown); ++i) {
    std::cout << NameOf(findings[i].broken) << ' ' << findings[i].text << '\n';
  }
  std::cout << title << (findings.empty() ? "no rule broken" : "broken:");
  for (const auto& [name, count] : counts) {
    std::cout << ' ' << name << ' ' << count;
  }
  std::cout << std::endl;
}

int Run(const options& chosen) {
  std::ofstream log(chosen.folder + "/events.log");
  traffic_record record(log);
  std::mt19937_64 seeds(chosen.seed);
  std::vector<node_ports> nodes;
  std::vector<std::uint16_t> call_ports;
  std::vector<std::unique_ptr<soak_endpoint>> endpoints;
  for (std::size_t i = 0; i < chosen.node_count; ++i) {
    nodes.push_back(PortsOf(chosen, i));
    call_ports.push_back(nodes.back().call);
    endpoints.push_back(std::make_unique<soak_endpoint>(
        i, ServiceOf(i), nodes.back(), seeds(), record));
  }
  if (!WaitUntilServing(nodes, record)) {
    std::cerr << "the nodes do not serve\n";
    return 2;
  }
  std::atomic<bool> is_over{false};
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < chosen.client_count; ++i) {
    client_habits habits{.services = {"booking", "gate"}};
    if (i == 0) {
      habits = {.services = {kQuietService}, .is_quiet = true};
    }
    threads.emplace_back(
        [&, habits, name = "c" + std::to_string(i), seed = seeds()] {
          soak_client(name, habits, call_ports, seed, record).Run(is_over);
        });
  }
  disruptor disturbing(chosen.folder, chosen.store_port, nodes, endpoints,
                       seeds(), record);
  threads.emplace_back([&] { disturbing.Run(is_over); });
  std::this_thread::sleep_for(std::chrono::seconds(chosen.seconds));
  is_over = true;
  for (std::thread& each : threads) {
    each.join();
  }
  const std::vector<finding> findings = record.Judge();
  Print(chosen, record, findings);
  return findings.empty() ? 0 : 1;
}

}  // namespace
}  // namespace auburnfold::soak

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  return auburnfold::soak::Run(auburnfold::soak::ParseOptions(argc, argv));
}
