#ifndef LIBDECISION_ADMISSION_LIMIT_POLICY_H_
#define LIBDECISION_ADMISSION_LIMIT_POLICY_H_

#include <concepts>
#include <cstdint>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Requests at the endpoint.
struct endpoint_occupancy {
  /// Being worked on, or waiting inside the endpoint for a slot.
  std::uint32_t active = 0;
  /// The active ones and those that wait for deeper calls.
  std::uint32_t total = 0;
};

/// What a limit learns from one request, when it calls deeper for the first
/// time or ends.
struct limit_sample {
  /// Just before.
  endpoint_occupancy occupancy;
  /// When the request was handed to the endpoint.
  instant started;
  /// Time at the endpoint until then: the wait for a slot and the first work.
  duration own_time{};
  /// The same for its class while the endpoint has free slots; zero while it
  /// is not known.
  duration expected_time{};
  /// The endpoint refused it before any work.
  bool is_refused = false;
};

/// Bounds how many requests are at the endpoint at once.
template <class type>
concept limit_policy = requires(type policy,
                                const type& constant,
                                instant now,
                                limit_sample sample,
                                endpoint_occupancy occupancy) {
  /// Whether one more may start.
  { constant.HasRoom(occupancy) } -> std::same_as<bool>;
  /// Most active requests at once.
  { constant.limit() } -> std::same_as<std::uint32_t>;
  /// Requests wait while there is no room.
  { constant.has_queue() } -> std::same_as<bool>;
  /// The highest priority may go a little over the limit.
  { constant.lets_important_over() } -> std::same_as<bool>;
  /// Returns the factor by which every expected time is to be multiplied.
  { policy.OnSample(now, sample) } -> std::same_as<double>;
  /// A request found no room.
  { policy.OnLimited(occupancy) } -> std::same_as<void>;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_LIMIT_POLICY_H_
