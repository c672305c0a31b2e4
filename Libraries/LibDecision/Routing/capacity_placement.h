#ifndef LIBDECISION_ROUTING_CAPACITY_PLACEMENT_H_
#define LIBDECISION_ROUTING_CAPACITY_PLACEMENT_H_

#include <cstdint>
#include <unordered_map>

#include "LibDecision/Pressure/pressure_tracker.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/member_record.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// Compares endpoints by the capacity that is free and by their speed.
///
/// Load pattern: endpoints of one service have about the same number of slots
/// but differ in speed, and many nodes send to them. A product of own requests
/// in flight and latency fills the fast endpoints while slow ones have free
/// slots; here an endpoint becomes expensive as it fills up, whoever sends.
class capacity_placement {
 public:
  void OnSent(node_id node, const service_class& target);
  /// `elapsed` is the time from sending the request to its answer.
  void OnFinished(instant now,
                  node_id node,
                  const service_class& target,
                  const outcome& result,
                  duration elapsed);

  /// Part of the capacity that is in use, 0 or more: as last told, plus the
  /// work sent since. Without recent information, only the `own` requests in
  /// flight and the announced slots count.
  double Utilization(instant now,
                     const member_record& record,
                     std::uint32_t own) const;
  /// Recent latency in proportion to the other endpoints, class by class.
  double Slowness(node_id node) const;
  /// Cost of one more request; lower is better.
  double Cost(instant now,
              const member_record& record,
              std::uint32_t own) const;

 private:
  struct endpoint_load {
    std::uint32_t capacity = 0;
    std::uint32_t in_flight = 0;
    /// Work sent since, in mean requests of the service.
    double sent_since = 0;
    instant told_at = instant::min();
    double slowness = 1;
  };

  /// Work of a request, in mean requests of the service.
  double WorkOf(const service_class& target) const;
  void OnLatency(endpoint_load& load,
                 const service_class& target,
                 double elapsed_ns);

  std::unordered_map<node_id, endpoint_load> endpoints_;
  /// Mean latency over all endpoints, in nanoseconds.
  std::unordered_map<service_class, double, service_class_hash> class_ns_;
  std::unordered_map<service_name, double> service_ns_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_CAPACITY_PLACEMENT_H_
