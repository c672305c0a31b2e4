#ifndef LIBDECISION_ROUTES_ROUTE_H_
#define LIBDECISION_ROUTES_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Names one state of the routes; a later state has a higher one.
using route_version = strong_value<struct route_version_tag, std::uint64_t>;

/// One of the services that share the requests of a route.
struct weighted_service {
  service_name service;
  /// Share relative to the other services of the route; 0 takes none.
  std::uint32_t weight = 1;
};

/// What operators say about the requests of one host below one path.
struct route {
  class_name name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Never empty.
  std::vector<weighted_service> services;
  /// Running a request again does no harm.
  bool is_idempotent = false;
  /// Most endpoints that one request may be sent to.
  std::uint16_t most_attempts = 1;
  /// Longest time until the final answer.
  duration longest_wait{};
  /// Time within which an answer is worth most.
  duration objective{};
  /// 0 (refused first) to 7 (refused last).
  std::uint8_t priority = 3;
};

/// A service that operators name.
struct named_service {
  service_name name;
  /// Where its endpoints tell how they are; empty if nowhere.
  std::string health_path;
};

/// What a caller may send, and how long it may take.
struct caller_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = std::uint64_t{1024} * 1024;
  /// Longest time for the headers of a request.
  duration header_wait = std::chrono::seconds(10);
  /// Longest time without a request on an open connection.
  duration idle_wait = std::chrono::seconds(90);
};

/// Everything that operators say about routing, as of one version.
struct route_config {
  route_version version;
  std::vector<route> routes;
  std::vector<named_service> services;
  caller_limits limits;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_ROUTE_H_
