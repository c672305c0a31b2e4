#ifndef LIBDECISION_NODE_OPTIONS_H_
#define LIBDECISION_NODE_OPTIONS_H_

#include <cstdint>
#include <string>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Time after a leave was announced in which new work is still taken where
/// nodes hear of it from each other.
inline constexpr duration kLeavingGrace = std::chrono::milliseconds(1500);

/// Retries of one root request over all its calls. Each level hands on half of
/// what it has, so one is left for a call that is five levels down.
inline constexpr std::uint16_t kTreeRetries = 32;

/// How a node bounds the requests that run at its endpoint at once.
enum class limit_choice : std::uint8_t {
  kAdaptive,   ///< Found from the node's own observations.
  kAnnounced,  ///< As many as the endpoint says that it runs at once.
  kFixed,      ///< Baseline: a fixed number, without a queue.
  kUnlimited,  ///< Baseline: everything runs at once.
};

/// How a node bounds its retries.
enum class retry_choice : std::uint8_t {
  kAllowance,   ///< An allowance for the whole call tree, and a node's share.
  kArrivals,    ///< An allowance of arrivals at endpoints for the whole call
                ///< tree, and a node's share for each service; attempts that
                ///< no endpoint saw are bounded by themselves.
  kThreeTries,  ///< Baseline: up to three tries at every hop.
};

/// How nodes learn of each other.
enum class discovery_choice : std::uint8_t {
  kGossip,    ///< From each other; the key-value service only introduces them.
  kRegistry,  ///< From leased keys in the key-value service.
};

/// Where the settings of services and classes come from.
enum class settings_choice : std::uint8_t {
  kTable,   ///< Rows that operators edit through any node.
  kRoutes,  ///< Routes that operators keep in the key-value service.
};

/// The policies that a node runs with. The defaults are the product; the
/// others are baselines, kept so that a measurement can run beside them.
struct node_options {
  limit_choice limit = limit_choice::kAdaptive;
  retry_choice retries = retry_choice::kAllowance;
  discovery_choice discovery = discovery_choice::kGossip;
  settings_choice settings = settings_choice::kTable;
  /// The key that holds the routes, for `settings_choice::kRoutes`.
  std::string route_key;
  /// New work is taken for this long after the endpoint said that it leaves.
  duration leaving_grace = kLeavingGrace;
  /// New work and new calls are taken for this long after a stop was asked
  /// for, since senders and callers hear of it only then.
  duration stop_grace = kLeavingGrace;
  /// Longest time that a stop waits for what runs.
  duration stop_limit = std::chrono::seconds(25);
  /// Calls are refused early that a deeper service would refuse.
  bool refuses_early = true;
  /// Also those that work which already runs has made.
  bool refuses_running_early = true;
};

}  // namespace auburnfold

#endif  // LIBDECISION_NODE_OPTIONS_H_
