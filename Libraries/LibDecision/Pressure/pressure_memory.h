#ifndef LIBDECISION_PRESSURE_PRESSURE_MEMORY_H_
#define LIBDECISION_PRESSURE_PRESSURE_MEMORY_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibDecision/event_context.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// Names what a pressure is about.
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

/// What this node heard in answers about the pressure on other services, and
/// what that means for the classes served by its own endpoint.
class pressure_memory {
 public:
  /// An attempt at the endpoint beside `node` ended.
  void OnAnswer(instant now,
                const service_class& called,
                node_id node,
                const outcome& result);
  /// Work of `own_class` wants to call `called`.
  void OnDeepCall(instant now,
                  const class_name& own_class,
                  const service_class& called);

  /// Level below which most endpoints of a service refuse; decays when not
  /// refreshed.
  std::uint16_t LevelFor(instant now, const service_class& called) const;
  /// Highest level of the services that `own_class` called recently.
  std::uint16_t DeepLevelFor(instant now, const class_name& own_class) const;
  /// Delay for a request that was refused early, with jitter.
  duration RetryAfter(event_context& context,
                      const service_class& called) const;
  /// The service refuses on most endpoints, not on a single one.
  bool RefusesAsWhole(instant now, const service_class& called) const;

 private:
  struct endpoint_level {
    node_id node;
    std::uint16_t level = 0;
    instant heard{};
  };
  struct service_pressure {
    /// The latest level of each endpoint.
    std::vector<endpoint_level> levels;
    /// Share of recent answers that were refusals for overload.
    double refused_share = 0;
    duration retry_after{};
    instant refreshed{};
  };
  struct deep_service {
    service_class called;
    instant called_at{};
  };

  static std::uint16_t LevelOf(instant now, const service_pressure& pressure);

  std::unordered_map<service_class, service_pressure, service_class_hash>
      heard_;
  std::unordered_map<class_name, std::vector<deep_service>> deep_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PRESSURE_PRESSURE_MEMORY_H_
