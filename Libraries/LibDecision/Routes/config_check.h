#ifndef LIBDECISION_ROUTES_CONFIG_CHECK_H_
#define LIBDECISION_ROUTES_CONFIG_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/Routes/route.h"

namespace auburnfold {

/// What can be wrong with a configuration that was read.
enum class config_fault : std::uint8_t {
  kUnread,          ///< A part is missing, malformed or not understood.
  kNotNewer,        ///< Nodes ignore a version that is not newer.
  kDuplicateName,   ///< Two entries of a type have the same name.
  kUnknownService,  ///< A route names a service that is not configured.
  kSharedKey,       ///< Two tenants have the same API key; it is refused.
  kNeverMatches,    ///< No request can ever use the entry.
  kUnused,          ///< Nothing refers to the entry.
  kNoEffect,        ///< Another value makes the field irrelevant.
  kContradiction,   ///< Two limits contradict each other.
};

/// The name of `fault` in reports.
std::string_view NameOf(config_fault fault);

/// Whether a configuration with `fault` should not be put in force.
bool IsError(config_fault fault);

/// One thing that is wrong with a configuration.
struct config_finding {
  config_fault fault = config_fault::kUnread;
  /// Name of the entry; empty if it has none.
  std::string entry;
  /// The field of the entry that is concerned.
  std::string field;
  std::string reason;

  friend bool operator==(const config_finding&,
                         const config_finding&) = default;
};

/// Checks `config`. If `in_force` is set, `config` is to replace it. The
/// findings contain no API key.
std::vector<config_finding> CheckConfig(const route_config& config,
                                        const route_config* in_force = nullptr);

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_CONFIG_CHECK_H_
