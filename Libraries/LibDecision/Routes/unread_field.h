#ifndef LIBDECISION_ROUTES_UNREAD_FIELD_H_
#define LIBDECISION_ROUTES_UNREAD_FIELD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnfold {

/// A part of the route configuration that can be missing, malformed, or of a
/// kind that this version does not know, and what holds instead.
enum class config_field : std::uint8_t {
  kResource,       ///< Not an entry with type, name and content: left out.
  kResourceType,   ///< Left out.
  kRouteMatch,     ///< Host or prefix: the route is left out.
  kRouteKind,      ///< Requests are executed at most once.
  kRouteService,   ///< The route's other services; without any, requests are
                   ///< refused as not executed.
  kRouteTimeout,   ///< The default of a table row.
  kRouteTarget,    ///< Target latency: the time limit.
  kRoutePriority,  ///< The lowest.
  kRouteAttempts,  ///< One.
  kServiceHealthPath,  ///< Endpoints of the service are not probed.
  kTenantKeys,         ///< The other keys of the tenant.
  kTenantPriority,     ///< That of the route.
  kTenantQuota,        ///< No limit.
  kLimit,              ///< The default.
};

inline constexpr std::size_t kConfigFieldCount =
    static_cast<std::size_t>(config_field::kLimit) + 1;

/// The name of `field` in log lines and metrics.
std::string_view NameOf(config_field field);

/// A part of a configuration that was not read.
struct unread_field {
  config_field field = config_field::kResource;
  /// Name of the entry; empty if it has none.
  std::string entry;
  /// The value, shortened; empty if it is missing.
  std::string value;

  friend bool operator==(const unread_field&, const unread_field&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_UNREAD_FIELD_H_
