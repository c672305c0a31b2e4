#ifndef TESTS_SOAK_DISRUPTOR_H_
#define TESTS_SOAK_DISRUPTOR_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "soak_endpoint.h"
#include "traffic_record.h"

namespace auburnfold::soak {

/// Sends signals to nodes, which whoever started them starts again, lets
/// endpoints leave, and disturbs the key-value store; several at once.
class disruptor {
 public:
  /// `folder` holds the file `node-N.pid` of each node.
  disruptor(std::string folder,
            std::uint16_t store_port,
            std::vector<node_ports> nodes,
            std::vector<std::unique_ptr<soak_endpoint>>& endpoints,
            std::uint64_t seed,
            traffic_record& record);

  /// Disturbs the deployment until `is_over`, then waits until all is in order.
  void Run(const std::atomic<bool>& is_over);

 private:
  std::uint64_t Random(std::uint64_t bound) { return random_() % bound; }
  std::size_t ChooseNode() { return Random(nodes_.size()); }
  void Begin();
  /// Runs `action` beside other disruptions.
  void Start(std::function<void()> action);
  /// Sends a signal after which the node is started again, and waits until it
  /// is ready.
  void Restart(std::size_t node, int signal_number, disruption_kind kind);
  void Pause(std::size_t node, std::chrono::milliseconds length);
  void Reload(std::size_t node);
  /// Closes its connections, or loses the answers to some writes.
  void DisturbStore(std::chrono::milliseconds length, bool loses_answers);
  /// The endpoint leaves. If `is_killed`, its node is killed soon after.
  void Leave(std::size_t node,
             std::chrono::milliseconds late_report,
             bool is_killed,
             std::chrono::milliseconds kill_after);
  /// The endpoint leaves while its node finishes its work, which it was told to
  /// do `stopped_before` that.
  void LeaveDuringStop(std::size_t node,
                       std::chrono::milliseconds stopped_before,
                       std::chrono::milliseconds late_report);
  bool Signal(std::size_t node, int signal_number) const;
  bool IsReady(std::size_t node) const;
  void SetStoreFaults(const std::string& faults) const;

  std::string folder_;
  std::uint16_t store_port_;
  std::vector<node_ports> nodes_;
  std::vector<std::unique_ptr<soak_endpoint>>& endpoints_;
  std::mt19937_64 random_;
  traffic_record& record_;
  std::vector<std::thread> running_;
  /// One restart of a node at a time.
  std::vector<std::unique_ptr<std::atomic<bool>>> is_restarting_;
};

}  // namespace auburnfold::soak

#endif  // TESTS_SOAK_DISRUPTOR_H_
