#ifndef TESTS_LIBRUNTIME_RUNNING_NODE_H_
#define TESTS_LIBRUNTIME_RUNNING_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibDecision/Routes/route.h"
#include "LibDecision/effect.h"
#include "LibDecision/node_options.h"
#include "LibDecision/peer_message.h"
#include "LibRuntime/Requests/own_dialect.h"
#include "LibRuntime/Requests/wire_dialect.h"
#include "LibRuntime/Settings/node_settings.h"

namespace auburnfold::testing_support {

/// Settings with any free ports on loopback.
node_settings LoopbackSettings();

/// Also takes an endpoint's answers that end with their connections.
struct dialect_of_open_ends : own_dialect {
  bool allows_close_delimited_responses() const { return true; }
};

/// A node in this process, on a thread of its own.
class running_node {
 public:
  explicit running_node(const node_settings& settings = LoopbackSettings());
  running_node(const node_settings& settings, any_wire_dialect dialect);
  /// `before_effect` is called in the node's thread before each effect.
  running_node(const node_settings& settings,
               std::function<void(const effect&)> before_effect);
  /// With a route configuration that sets `limits`, which are in effect.
  explicit running_node(const caller_limits& limits);
  ~running_node();

  std::uint16_t call_port() const;
  std::uint16_t peer_port() const;
  std::uint16_t control_port() const;
  std::uint16_t admin_port() const;
  incarnation run() const;

  /// Header lines of a request that another node forwards to this run.
  std::string ForwardedHeaders() const;

  /// Announces an endpoint at `port`, as the endpoint itself would.
  void Announce(const std::string& service,
                std::uint16_t port,
                const std::string& state = "ready");
  /// Makes the node believe in another node, in its incarnation `run`, that
  /// serves `service` at `port`, and waits until it does.
  void AnnouncePeer(const std::string& service,
                    std::uint16_t port,
                    incarnation run = incarnation(1));
  /// Sends bytes to the control port.
  void SendControl(const std::vector<std::uint8_t>& bytes);

  /// The value of a metric, labels included in `name`; 0 if it is absent.
  double Metric(const std::string& name) const;
  /// Asks until the metric has at least this value.
  void WaitForMetric(const std::string& name, double value) const;

  /// Blocks the node's event loop until `Resume`.
  void Pause();
  void Resume();

  void Stop();
  /// Waits for the end of a stop; returns the requests that it cut.
  std::uint64_t WaitUntilStopped();

 private:
  struct parts;
  std::unique_ptr<parts> parts_;
};

}  // namespace auburnfold::testing_support

#endif  // TESTS_LIBRUNTIME_RUNNING_NODE_H_
