#ifndef LIBRUNTIME_NODE_RUNTIME_H_
#define LIBRUNTIME_NODE_RUNTIME_H_

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "LibDecision/node_options.h"
#include "LibRuntime/admin_handler.h"
#include "LibRuntime/node_settings.h"
#include "LibRuntime/route_decoder.h"
#include "LibRuntime/store_caller.h"
#include "LibRuntime/wire_dialect.h"

namespace auburnfold {

/// A port that could not be listened at.
struct listen_error {
  std::string key;  ///< The settings key of the port.
  std::uint16_t port = 0;
  std::string reason;
};

/// One node: the reducer with its servers, connections and timers, all on one
/// io_context and one thread.
class node_runtime {
 public:
  /// The product's own dialect and policies.
  node_runtime(boost::asio::io_context& io, const node_settings& settings);
  node_runtime(boost::asio::io_context& io,
               const node_settings& settings,
               any_wire_dialect dialect,
               const node_options& options);
  ~node_runtime();
  node_runtime(const node_runtime&) = delete;
  node_runtime& operator=(const node_runtime&) = delete;

  /// Without one, the key-value service counts as unavailable.
  void SetStoreCaller(store_caller caller);
  void SetAdminHandler(admin_handler handler);
  /// Without one, routes cannot be read and none are in force.
  void SetRouteDecoder(route_decoder decoder);

  /// Listens and begins. Fails with `listen_error`.
  leaf::result<void> Start();
  /// Begins a graceful stop; a second call changes nothing.
  void Stop();
  /// `on_stopped` is called once the stop is complete.
  void SetStoppedHandler(std::function<void()> on_stopped);

  /// Changes `stop_linger` of the settings.
  void SetStopLinger(std::chrono::milliseconds linger);

  /// Gives the reducer an administration request.
  void RequestAdmin(admin_request request, admin_result_handler on_result);

  /// Requests that the stop has cut.
  std::uint64_t aborted_requests() const;
  /// All figures in the Prometheus text format.
  std::string MetricsText() const;

  /// Which run of the node this is.
  incarnation run() const;

  /// Ports that were taken where the settings say 0.
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
