#ifndef LIBRUNTIME_NODE_RUNTIME_H_
#define LIBRUNTIME_NODE_RUNTIME_H_

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibDecision/effect.h"
#include "LibDecision/node_options.h"
#include "LibRuntime/Control/admin_handler.h"
#include "LibRuntime/Requests/wire_dialect.h"
#include "LibRuntime/Settings/node_settings.h"
#include "LibRuntime/route_decoder.h"
#include "LibRuntime/store_caller.h"

namespace auburnfold {

/// A failure to listen on a port.
struct listen_error {
  std::string key;  ///< The settings key of the port.
  std::uint16_t port = 0;
  std::string reason;
};

/// One node: the reducer with its servers, connections and timers. All of it
/// runs on one io_context and one thread.
class node_runtime {
 public:
  /// Uses the project's own dialect and the default options.
  node_runtime(boost::asio::io_context& io, const node_settings& settings);
  node_runtime(boost::asio::io_context& io,
               const node_settings& settings,
               any_wire_dialect dialect,
               const node_options& options);
  ~node_runtime();
  node_runtime(const node_runtime&) = delete;
  node_runtime& operator=(const node_runtime&) = delete;

  /// Without a caller, the key-value store counts as unavailable.
  void SetStoreCaller(store_caller caller);
  void SetAdminHandler(admin_handler handler);
  /// Without a decoder, no routes are applied. With one, the node is not ready
  /// until it has routes.
  void SetRouteDecoder(route_decoder decoder);

  /// Opens the ports and starts the node. Fails with `listen_error`.
  leaf::result<void> Start();
  /// Begins a graceful stop. Further calls have no effect.
  void Stop();
  /// `on_stopped` is called once the stop is complete.
  void SetStoppedHandler(std::function<void()> on_stopped);

  /// `before_effect` is called before each effect is carried out. For tests: an
  /// exception counts as one of the effect.
  void SetEffectProbe(std::function<void(const effect&)> before_effect);

  /// Overrides the setting `stop_linger`.
  void SetStopLinger(std::chrono::milliseconds linger);

  /// Passes an administration request to the reducer.
  void RequestAdmin(admin_request request, admin_result_handler on_result);

  /// The number of requests that the stop aborted.
  std::uint64_t aborted_requests() const;
  /// All metrics in the Prometheus text format.
  std::string MetricsText() const;

  /// The incarnation of this process.
  incarnation run() const;

  /// The ports in use, also where the settings leave the choice to the
  /// operating system with 0.
  std::uint16_t call_port() const;
  std::uint16_t peer_port() const;
  std::uint16_t control_port() const;
  std::uint16_t admin_port() const;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_NODE_RUNTIME_H_
