#ifndef LIBDECISION_PRESSURE_PRESSURE_TRACKER_H_
#define LIBDECISION_PRESSURE_PRESSURE_TRACKER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// A service and a class of its requests. Pressure is tracked for each pair.
struct service_class {
  service_name service;
  class_name request_class;

  friend bool operator==(const service_class&, const service_class&) = default;
};

struct service_class_hash {
  std::size_t operator()(const service_class& key) const {
    return std::hash<service_name>{}(key.service) * 31 +
           std::hash<class_name>{}(key.request_class);
  }
};

/// Tracks the pressure on other services from the admission levels in their
/// answers, and which of these services each class of the local endpoint calls.
class pressure_tracker {
 public:
  /// An attempt at the endpoint of `node` ended.
  void OnAnswer(instant now,
                const service_class& called,
                node_id node,
                const outcome& result);
  /// A request of `parent_class` at the local endpoint makes a call to
  /// `called`.
  void OnChildCall(instant now,
                   const class_name& parent_class,
                   const service_class& called);

  /// Mean admission level of the service's endpoints for the class; decays to 0
  /// when no answers arrive.
  std::uint16_t LevelFor(instant now, const service_class& called) const;
  /// Highest level of the services that `parent_class` called recently.
  std::uint16_t DependencyLevelFor(instant now,
                                   const class_name& parent_class) const;
  /// Delay before retrying a request that was refused early, with jitter.
  duration RetryAfter(event_context& context,
                      const service_class& called) const;
  /// Whether so many recent answers were refusals that the service as a whole
  /// is overloaded, not just one endpoint.
  bool IsOverloaded(instant now, const service_class& called) const;

 private:
  struct endpoint_level {
    node_id node;
    std::uint16_t level = 0;
    instant updated_at{};
  };
  struct service_pressure {
    /// Latest level of each endpoint.
    std::vector<endpoint_level> levels;
    /// Fraction of recent answers that were overload refusals.
    double refused_fraction = 0;
    duration retry_after{};
    instant updated_at{};
  };
  struct dependency {
    service_class called;
    instant called_at{};
  };

  static std::uint16_t LevelOf(instant now, const service_pressure& pressure);

  std::unordered_map<service_class, service_pressure, service_class_hash>
      pressures_;
  std::unordered_map<class_name, std::vector<dependency>> dependencies_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PRESSURE_PRESSURE_TRACKER_H_
