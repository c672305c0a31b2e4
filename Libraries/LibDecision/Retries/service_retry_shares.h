#ifndef LIBDECISION_RETRIES_SERVICE_RETRY_SHARES_H_
#define LIBDECISION_RETRIES_SERVICE_RETRY_SHARES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "LibDecision/Retries/retry_claim.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Bounds the repeats that this node sends to each service. All nodes together
/// stay within the repeats that a service can bear, whatever each of them does,
/// since each keeps to its own share.
///
/// Answers two load patterns. A service that turns requests away for a few
/// seconds after a calm time: what was earned in the calm time is still there.
/// Faults deep in a call graph: a run that is itself a repeat repeats all its
/// calls, and those count against the share of the service called, so one
/// share holds at every level, however many levels repeat.
///
/// When little is left it goes where a repeat helps most: a chain of five calls
/// needs six repeats for one answer where half of the calls are turned away,
/// and one that fails at its first call has wasted none.
class service_retry_shares {
 public:
  /// A request goes to `service` for the first time.
  void OnFirstAttempt(instant now, const service_name& service, bool is_repeat);
  /// Takes one retry, if what is left is not kept for others.
  bool TryTake(instant now, const service_name& service, retry_claim claim);

 private:
  static constexpr std::size_t kSlices = 10;

  /// What was earned during one slice of the window.
  struct slice {
    double earned = 0;
    double left = 0;
  };
  struct share {
    std::array<slice, kSlices> slices;
    /// Since the origin of time; the present one is the youngest.
    std::int64_t present = 0;
    /// Repeats that were not this node's choice and are not yet paid for.
    double debt = 0;

    void RollTo(instant now);
    void Earn(double retries);
    void Spend(double retries);
    double left() const;
    double earned() const;
  };

  share& ShareOf(instant now, const service_name& service);

  std::unordered_map<service_name, share> shares_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_SERVICE_RETRY_SHARES_H_
