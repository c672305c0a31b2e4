#ifndef TESTS_LIBDECISION_UNEVEN_ENDPOINTS_H_
#define TESTS_LIBDECISION_UNEVEN_ENDPOINTS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "LibDecision/Admission/admission_controller.h"
#include "LibDecision/Routing/router.h"

namespace auburnfold {

/// What an endpoint is like; may be changed while it runs.
struct endpoint_traits {
  double speed = 1;
  std::uint32_t slots = 35;
  std::uint32_t announced = 35;
  /// Slower by `knee_factor` while this part of the slots is in use.
  double knee = 2;
  double knee_factor = 1;
  /// Part of the time, in stretches of 600 ms, that it is `noise_factor`
  /// slower.
  double noise = 0;
  double noise_factor = 2.5;
  double slowdown = 1;
  /// Twice as slow until then.
  duration cold_for{};
  double refused_fraction = 0;
};

/// Nodes that send requests to the endpoints of one service in virtual time, at
/// a steady rate, with the real router and the real admission control.
class uneven_endpoints {
 public:
  struct result {
    std::uint64_t offered = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    /// Mean time from sending to the answer.
    double mean_ms = 0;
    /// Mean part of the real slots in use, by endpoint.
    std::vector<double> utilization;

    /// Largest utilization less the smallest.
    double spread() const;
  };

  uneven_endpoints(std::vector<endpoint_traits> traits, bool plans);
  ~uneven_endpoints();

  endpoint_traits& traits(std::size_t endpoint);
  /// Number of requests that the node of `endpoint` lets in at once.
  std::uint32_t limit(std::size_t endpoint) const;
  /// Requests per second of mean work `work` that the endpoints can do.
  double IdealRate(duration work) const;
  /// Sends `rate` requests per second for `length`. Class "short" takes 0.2
  /// times the mean work, "long" 1.8 times, each with an even spread.
  result Send(double rate, duration work, duration length);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace auburnfold

#endif  // TESTS_LIBDECISION_UNEVEN_ENDPOINTS_H_
