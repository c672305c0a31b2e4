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

/// The routes in force at this node.
class route_table {
 public:
  /// Puts `config` in force unless the one in force is as new. Returns whether
  /// it did.
  bool Take(instant now, const route_config& config);

  /// The route of `host` with the longest prefix that begins `path`; null if
  /// there is none. Valid until the next `Take`.
  const route* Match(std::string_view host, std::string_view path) const;
  /// The service for the next request of `matched`, which must come from
  /// `Match`. Over any few requests the services get their shares.
  const service_name& NextService(const route& matched);

  bool has_service(const service_name& service) const {
    return services_.contains(service);
  }
  /// Where endpoints of `service` tell how they are; empty if nowhere.
  std::string HealthPathOf(const service_name& service) const;
  /// Unset until the first version is known.
  std::optional<route_version> version() const { return version_; }
  /// When the version in force was taken.
  instant taken_at() const { return taken_at_; }

 private:
  struct host_route {
    route definition;
    /// What each service has to its credit, in weights; the highest is next.
    std::vector<std::int64_t> current_weights;
  };

  std::optional<route_version> version_;
  instant taken_at_{};
  /// By host in lower case; longest prefix first.
  std::unordered_map<std::string, std::vector<host_route>> hosts_;
  /// With their health paths.
  std::map<service_name, std::string> services_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_ROUTE_TABLE_H_
