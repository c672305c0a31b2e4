#ifndef LIBDECISION_NODE_OPTIONS_H_
#define LIBDECISION_NODE_OPTIONS_H_

#include <cstdint>
#include <string>

#include "LibDecision/instant.h"

namespace auburnfold {

/// How long new work is still accepted after a leave was announced, if nodes
/// learn of the leave from each other.
inline constexpr duration kLeavingGracePeriod = std::chrono::milliseconds(1500);

/// Retries that one root request may cause in its whole call tree. Each level
/// passes on half of its allowance, so one retry remains five levels down.
inline constexpr std::uint16_t kMaxRetriesPerCallTree = 32;

/// How a node limits the number of requests that run at its endpoint at once.
enum class limit_mode : std::uint8_t {
  kAdaptive,   ///< Derived from the node's own observations.
  kAnnounced,  ///< The number of slots that the endpoint reports.
  kFixed,      ///< Baseline: a fixed number, without a queue.
  kUnlimited,  ///< Baseline: no limit.
};

/// How a node limits its retries.
enum class retry_mode : std::uint8_t {
  kAllowance,  ///< An allowance for the whole call tree, and a retry budget of
               ///< the node.
  kArrivals,   ///< An allowance for the whole call tree that counts only
               ///< attempts that may have reached an endpoint, and a retry
               ///< budget of the node for each service. Attempts that reached
               ///< no endpoint have a limit of their own.
  kThreeAttempts,  ///< Baseline: up to three attempts at every hop.
};

/// How nodes discover each other.
enum class discovery_mode : std::uint8_t {
  kGossip,    ///< By gossip; the key-value store only provides the seeds.
  kRegistry,  ///< From leased keys in the key-value store.
};

/// Where the settings of services and classes come from.
enum class settings_source : std::uint8_t {
  kTable,   ///< Rows that operators edit through any node.
  kRoutes,  ///< Routes that operators store in the key-value store.
};

/// When a node learns how much each endpoint takes well, and plans its
/// admissions accordingly, instead of relying on announced slots.
enum class capacity_planning : std::uint8_t {
  kNever,
  kWithDownloads,  ///< While the routes include downloads: the size of requests
                   ///< then differs too much for a number of slots.
  kAlways,
};

/// The policies that a node uses. The defaults are the standard configuration;
/// values marked as baseline exist for comparison in measurements.
struct node_options {
  limit_mode limit = limit_mode::kAdaptive;
  retry_mode retries = retry_mode::kAllowance;
  discovery_mode discovery = discovery_mode::kGossip;
  settings_source settings = settings_source::kTable;
  /// The key that holds the routes, for `settings_source::kRoutes`.
  std::string route_key;
  /// How long new work is still accepted after the endpoint announced that it
  /// is leaving.
  duration leaving_grace = kLeavingGracePeriod;
  /// How long new work and new calls are still accepted after a stop request,
  /// since other nodes and callers learn of the stop only during that time.
  duration stop_grace = kLeavingGracePeriod;
  /// Maximum time that a stop waits for running requests; the rest is aborted.
  duration stop_limit = std::chrono::seconds(25);
  /// Whether calls that a dependency would refuse are refused early.
  bool refuses_early = true;
  /// Whether that includes the child calls of running work, whose refusal
  /// wastes what the work has done so far.
  bool refuses_child_calls_early = true;
  capacity_planning planning = capacity_planning::kNever;
  /// Requests with an API key are refused if the routes in force may have been
  /// replaced more than this long ago; zero if keys never become outdated.
  duration api_key_validity{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_NODE_OPTIONS_H_
