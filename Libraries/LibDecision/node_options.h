#ifndef LIBDECISION_NODE_OPTIONS_H_
#define LIBDECISION_NODE_OPTIONS_H_

#include <cstdint>

namespace auburnfold {

/// How a node bounds the requests that run at its endpoint at once.
enum class limit_choice : std::uint8_t {
  kAdaptive,   ///< Found from the node's own observations.
  kFixed,      ///< Baseline: a fixed number, without a queue.
  kUnlimited,  ///< Baseline: everything runs at once.
};

/// How a node bounds its retries.
enum class retry_choice : std::uint8_t {
  kAllowance,   ///< An allowance for the whole call tree, and a node's share.
  kThreeTries,  ///< Baseline: up to three tries at every hop.
};

/// The policies that a node runs with. The defaults are the product; the
/// others are baselines, kept so that a measurement can run beside them.
struct node_options {
  limit_choice limit = limit_choice::kAdaptive;
  retry_choice retries = retry_choice::kAllowance;
  /// Calls are refused early that a deeper service would refuse.
  bool refuses_early = true;
};

}  // namespace auburnfold

#endif  // LIBDECISION_NODE_OPTIONS_H_
