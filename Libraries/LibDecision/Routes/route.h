#ifndef LIBDECISION_ROUTES_ROUTE_H_
#define LIBDECISION_ROUTES_ROUTE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibDecision/Routes/unread_field.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// One of the services that a route distributes its requests over.
struct weighted_service {
  service_name service;
  /// Weight relative to the other services of the route; 0 gets no requests.
  std::uint32_t weight = 1;
};

/// Settings for the requests to one host under one path prefix.
struct route {
  class_name name;
  std::string host;
  /// Path prefix; begins and ends with a slash.
  std::string prefix;
  /// If empty, requests are refused as not executed.
  std::vector<weighted_service> services;
  /// Executing a request twice does no harm.
  bool is_idempotent = false;
  /// Responses are large.
  bool is_download = false;
  /// Maximum number of endpoints that one request may be sent to.
  std::uint16_t max_attempts = 1;
  /// Time limit for the final answer.
  duration timeout{};
  /// Target latency: a later answer is worth less.
  duration objective{};
  /// 0 (refused first) to 7 (refused last).
  std::uint8_t priority = 3;
  /// Requests need no API key even if the configuration has tenants.
  bool is_anonymous = false;
};

/// A number of requests that a tenant may make over all nodes together.
struct tenant_quota {
  /// Requests per second; 0 means unlimited.
  request_rate rate;
  /// Requests that may be made at once on top of the rate.
  double burst = 0;

  bool is_limited() const { return rate.value() > 0; }
  friend bool operator==(const tenant_quota&, const tenant_quota&) = default;
};

/// A tenant, its API keys and its quota.
struct tenant_config {
  tenant_name name;
  std::vector<api_key> keys;
  /// 0 (refused first) to 7 (refused last); unset if the priority of the route
  /// applies.
  std::optional<std::uint8_t> priority;
  tenant_quota quota;
};

/// A service and its health probe.
struct service_config {
  service_name name;
  /// Path of the health probe at its endpoints; empty if there is none.
  std::string health_path;
};

/// Limits for the requests and connections of callers.
struct caller_limits {
  /// What a node can hold, and so the largest limits that can be in effect.
  static constexpr std::uint64_t kMaxHeaderBytes = std::uint64_t{1024} * 1024;
  static constexpr std::uint64_t kMaxBodyBytes =
      std::uint64_t{32} * 1024 * 1024;

  std::uint64_t header_bytes = std::uint64_t{16} * 1024;
  std::uint64_t body_bytes = std::uint64_t{1024} * 1024;
  /// Time limit for receiving the headers of a request.
  duration header_timeout = std::chrono::seconds(10);
  /// An open connection without a request is closed after this time.
  duration idle_timeout = std::chrono::seconds(90);
};

/// One version of the complete route configuration.
struct route_config {
  route_version version;
  std::vector<route> routes;
  std::vector<service_config> services;
  /// If empty, requests need no API key.
  std::vector<tenant_config> tenants;
  caller_limits limits;
  /// What could not be read; the rest is in force all the same.
  std::vector<unread_field> unread;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_ROUTE_H_
