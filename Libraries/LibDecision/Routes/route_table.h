#ifndef LIBDECISION_ROUTES_ROUTE_TABLE_H_
#define LIBDECISION_ROUTES_ROUTE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "LibDecision/Routes/route.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The route configuration in force at this node.
class route_table {
 public:
  /// Puts `config` in force unless the version in force is the same or later.
  /// Returns whether it did.
  bool Apply(instant now, const route_config& config);

  /// The route of `host` with the longest prefix that matches `path`; null if
  /// there is none. Valid until the next `Apply`.
  const route* Match(std::string_view host, std::string_view path) const;
  /// Chooses the service for the next request of `matched`, which must come
  /// from `Match`, in proportion to the weights.
  const service_name& NextService(const route& matched);

  /// Whether a route in force is a download.
  bool has_downloads() const { return has_downloads_; }
  bool has_service(const service_name& service) const {
    return services_.contains(service);
  }
  /// Path of the health probe at endpoints of `service`; empty if there is
  /// none.
  std::string HealthPathOf(const service_name& service) const;
  /// The version in force; unset until the first one.
  std::optional<route_version> version() const { return version_; }
  /// When the version in force was applied.
  instant applied_at() const { return applied_at_; }

 private:
  struct host_route {
    route definition;
    /// State of the weighted round robin: one value for each service.
    std::vector<std::int64_t> current_weights;
  };

  std::optional<route_version> version_;
  instant applied_at_{};
  bool has_downloads_ = false;
  /// By host in lower case; longest prefix first.
  std::unordered_map<std::string, std::vector<host_route>> hosts_;
  /// Health probe path of each service.
  std::map<service_name, std::string> services_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_ROUTE_TABLE_H_
