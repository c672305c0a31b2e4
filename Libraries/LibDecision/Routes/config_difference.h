#ifndef LIBDECISION_ROUTES_CONFIG_DIFFERENCE_H_
#define LIBDECISION_ROUTES_CONFIG_DIFFERENCE_H_

#include <string>
#include <vector>

#include "LibDecision/Routes/route.h"

namespace auburnfold {

/// One difference between two configurations. `before` or `after` is empty if
/// the entry was added or removed.
struct config_difference {
  /// Type and name of the entry.
  std::string entry;
  /// The field that differs; empty if the whole entry was added or removed.
  std::string field;
  std::string before;
  std::string after;

  friend bool operator==(const config_difference&,
                         const config_difference&) = default;
};

/// How `after` differs from `before`. API keys are counted and never shown.
std::vector<config_difference> CompareConfigs(const route_config& before,
                                              const route_config& after);

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_CONFIG_DIFFERENCE_H_
