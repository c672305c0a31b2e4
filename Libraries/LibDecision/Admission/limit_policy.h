#ifndef LIBDECISION_ADMISSION_LIMIT_POLICY_H_
#define LIBDECISION_ADMISSION_LIMIT_POLICY_H_

#include <concepts>
#include <cstdint>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Number of requests at the endpoint.
struct endpoint_occupancy {
  /// Requests being processed or waiting for a slot inside the endpoint.
  std::uint32_t active = 0;
  /// Active requests and those that wait for child calls.
  std::uint32_t total = 0;
};

/// A measurement of one request, taken at its first child call or at its end.
struct limit_sample {
  /// Occupancy just before the sample was taken.
  endpoint_occupancy occupancy;
  /// When the request was sent to the endpoint.
  instant started;
  /// Time from `started` to this sample: waiting for a slot and processing.
  duration self_time{};
  /// Expected `self_time` for the request's class while the endpoint has free
  /// slots; zero if unknown.
  duration expected_time{};
  /// The endpoint refused the request before it processed any of it.
  bool is_refused = false;
};

/// Limits how many requests are at the endpoint concurrently.
template <class type>
concept limit_policy = requires(type policy,
                                const type& constant,
                                instant now,
                                limit_sample sample,
                                endpoint_occupancy occupancy) {
  /// Whether one more request may start.
  { constant.HasCapacity(occupancy) } -> std::same_as<bool>;
  /// Maximum number of concurrently active requests.
  { constant.limit() } -> std::same_as<std::uint32_t>;
  /// Whether requests wait in a queue while there is no capacity.
  { constant.has_queue() } -> std::same_as<bool>;
  /// Whether requests of the highest priority may slightly exceed the limit.
  { constant.allows_priority_excess() } -> std::same_as<bool>;
  /// Returns the factor by which every expected self time must be multiplied.
  { policy.OnSample(now, sample) } -> std::same_as<double>;
  /// A request arrived while there was no capacity.
  { policy.OnLimitReached(occupancy) } -> std::same_as<void>;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_LIMIT_POLICY_H_
