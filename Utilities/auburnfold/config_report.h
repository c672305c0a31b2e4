#ifndef AUBURNFOLD_CONFIG_REPORT_H_
#define AUBURNFOLD_CONFIG_REPORT_H_

#include <ostream>
#include <vector>

#include "LibDecision/Routes/config_check.h"
#include "LibDecision/Routes/config_difference.h"

namespace auburnfold {

/// The result of checking a configuration.
struct config_report {
  std::vector<config_finding> findings;
  /// Differences from the configuration in force; empty if none was given.
  std::vector<config_difference> differences;

  bool has_errors() const;
};

/// Checks `config`, which is to replace `in_force` if that is set.
config_report MakeConfigReport(const route_config& config,
                               const route_config* in_force);

/// Writes one line for each finding and difference.
void WriteText(const config_report& report, std::ostream& out);
/// Writes one JSON object.
void WriteJson(const config_report& report, std::ostream& out);

}  // namespace auburnfold

#endif  // AUBURNFOLD_CONFIG_REPORT_H_
