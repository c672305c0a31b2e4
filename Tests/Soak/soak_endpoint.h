#ifndef TESTS_SOAK_SOAK_ENDPOINT_H_
#define TESTS_SOAK_SOAK_ENDPOINT_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "blocking_http.h"
#include "traffic_record.h"

namespace auburnfold::soak {

/// Ports of a node and of the endpoint beside it.
struct node_ports {
  std::uint16_t call = 0;
  std::uint16_t peer = 0;
  std::uint16_t ready = 0;
  std::uint16_t report = 0;
  std::uint16_t admin = 0;
  std::uint16_t endpoint = 0;
};

/// An endpoint beside a node. It runs requests, checks them against what their
/// clients sent, and reports itself to its node.
class soak_endpoint {
 public:
  soak_endpoint(std::size_t index,
                std::string service,
                const node_ports& ports,
                std::uint64_t seed,
                traffic_record& record);
  ~soak_endpoint();
  soak_endpoint(const soak_endpoint&) = delete;
  soak_endpoint& operator=(const soak_endpoint&) = delete;

  /// Leaves without a word of draining before, serves on for a while, exits and
  /// starts again under another id. With `late_report`, its last report
  /// arrives that long after the leave; 0 for none. `on_acknowledged` is called
  /// once the node has acknowledged the leave. Blocks until the endpoint has
  /// started again. Returns at once if another leave is under way.
  void Leave(std::chrono::milliseconds late_report,
             const std::function<void()>& on_acknowledged);

 private:
  struct connection;

  void Start();
  void Exit();
  void Accept();
  void Serve(const std::shared_ptr<connection>& served);
  /// Returns whether the connection can carry another request.
  bool Handle(connection& served, const plain_request& request);
  void ReportReady();
  std::string Report(const std::string& method);
  unsigned Send(const std::string& report);
  std::string id() const;

  std::size_t index_;
  std::string service_;
  node_ports ports_;
  traffic_record& record_;
  std::mutex random_mutex_;
  std::mt19937_64 random_;
  asio::io_context io_;
  std::unique_ptr<tcp::acceptor> acceptor_;
  std::mutex connections_mutex_;
  std::vector<std::shared_ptr<connection>> connections_;
  std::atomic<std::uint64_t> run_ = 0;
  std::atomic<std::uint64_t> sequence_ = 0;
  std::atomic<std::int64_t> born_ms_ = 0;
  std::atomic<bool> is_reporting_ = false;
  std::atomic<bool> is_up_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<bool> is_stopping_ = false;
  std::thread accepting_;
  std::thread reporting_;
};

}  // namespace auburnfold::soak

#endif  // TESTS_SOAK_SOAK_ENDPOINT_H_
