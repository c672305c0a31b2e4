#ifndef LIBDECISION_ROUTES_PLANNED_CAPACITY_H_
#define LIBDECISION_ROUTES_PLANNED_CAPACITY_H_

#include "LibDecision/Routes/route_table.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// Whether capacity is planned with the routes in force.
inline bool PlansCapacity(const node_options& options,
                          const route_table& routes) {
  switch (options.planning) {
    case capacity_planning::kNever:
      return false;
    case capacity_planning::kWithDownloads:
      return routes.has_downloads();
    case capacity_planning::kAlways:
      return true;
  }
  return false;
}

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_PLANNED_CAPACITY_H_
