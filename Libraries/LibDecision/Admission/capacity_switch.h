#ifndef LIBDECISION_ADMISSION_CAPACITY_SWITCH_H_
#define LIBDECISION_ADMISSION_CAPACITY_SWITCH_H_

#include "LibDecision/Routes/route_table.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// Whether a node with the setting `planning` plans now, with `routes` in
/// force.
inline bool IsPlanning(capacity_planning planning, const route_table& routes) {
  switch (planning) {
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

#endif  // LIBDECISION_ADMISSION_CAPACITY_SWITCH_H_
