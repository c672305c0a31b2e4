#ifndef LIBDECISION_PRESSURE_PRESSURE_MEMORY_H_
#define LIBDECISION_PRESSURE_PRESSURE_MEMORY_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibDecision/outcome.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// What this node heard in answers about the pressure on other services, and
/// what that means for the classes served by its own endpoint.
class pressure_memory {
 public:
  /// An attempt at `service` ended.
  void OnAnswer(instant now,
                const service_name& service,
                const class_name& request_class,
                const outcome& result);
  /// Work of `own_class` called a service whose level was `level`.
  void OnDeepCall(instant now,
                  const class_name& own_class,
                  std::uint16_t level);

  /// Level below which `service` would refuse; decays when not refreshed.
  std::uint16_t LevelFor(instant now,
                         const service_name& service,
                         const class_name& request_class) const;
  /// Highest recent level of the services that `own_class` calls.
  std::uint16_t DeepLevelFor(instant now, const class_name& own_class) const;
  /// Delay for a request that was refused early, with jitter.
  duration RetryAfter(step& now,
                      const service_name& service,
                      const class_name& request_class) const;
  /// The service refuses on most endpoints, not on a single one.
  bool RefusesAsWhole(instant now,
                      const service_name& service,
                      const class_name& request_class) const;

 private:
  struct heard_level {
    double level = 0;
    /// Share of recent answers that were refusals for overload.
    double refused_share = 0;
    duration retry_after{};
    instant refreshed{};
  };
  using level_map = std::unordered_map<std::string, heard_level>;

  const heard_level* Find(const service_name& service,
                          const class_name& request_class) const;

  level_map heard_;
  std::unordered_map<class_name, heard_level> deep_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PRESSURE_PRESSURE_MEMORY_H_
