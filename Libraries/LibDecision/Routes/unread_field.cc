#include "LibDecision/Routes/unread_field.h"

namespace auburnfold {

std::string_view NameOf(config_field field) {
  switch (field) {
    case config_field::kResource:
      return "resource";
    case config_field::kResourceType:
      return "resource_type";
    case config_field::kRouteMatch:
      return "route_match";
    case config_field::kRouteKind:
      return "route_kind";
    case config_field::kRouteService:
      return "route_service";
    case config_field::kRouteTimeout:
      return "route_timeout";
    case config_field::kRouteTarget:
      return "route_target";
    case config_field::kRoutePriority:
      return "route_priority";
    case config_field::kRouteAttempts:
      return "route_attempts";
    case config_field::kServiceHealthPath:
      return "service_health_path";
    case config_field::kTenantKeys:
      return "tenant_keys";
    case config_field::kTenantPriority:
      return "tenant_priority";
    case config_field::kTenantQuota:
      return "tenant_quota";
    case config_field::kLimit:
      return "limit";
  }
  return "unknown";
}

}  // namespace auburnfold
