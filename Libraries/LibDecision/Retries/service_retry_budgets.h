#ifndef LIBDECISION_RETRIES_SERVICE_RETRY_BUDGETS_H_
#define LIBDECISION_RETRIES_SERVICE_RETRY_BUDGETS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "LibDecision/Retries/retry_priority.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Limits the repeats that this node sends to each service. Every node keeps
/// its own budget, so together they stay within the repeats that a service can
/// handle, whatever the others do.
///
/// Covers two load patterns. When a service refuses requests for a few seconds
/// after normal operation, the retries credited before are still available.
/// When a service far down a call graph fails, a repeated execution repeats all
/// of its calls. These are deducted from the budget of the called service, so
/// one budget holds at every level, however many levels repeat.
///
/// Scarce retries go where they help most. A chain of five calls needs six
/// repeats for one answer where half of the calls are refused; a chain that
/// fails at its first call has wasted none.
class service_retry_budgets {
 public:
  /// Records the first attempt of a call to `service`. A repeat spends a retry,
  /// any other call earns a fraction of one.
  void OnFirstAttempt(instant now, const service_name& service, bool is_repeat);
  /// Spends one retry, unless what is available is reserved for more valuable
  /// ones.
  bool TrySpend(instant now,
                const service_name& service,
                retry_priority priority);

 private:
  static constexpr std::size_t kSliceCount = 10;

  /// Retries credited during one slice of the window.
  struct slice {
    double credited = 0;
    double available = 0;
  };
  struct service_budget {
    std::array<slice, kSliceCount> slices;
    /// Number of the newest slice, counted from the epoch of the clock.
    std::int64_t current_slice = 0;
    /// Repeats caused by others that exceeded the budget and are not yet offset
    /// by credits.
    double debt = 0;

    void AdvanceTo(instant now);
    void Credit(double retries);
    void Spend(double retries);
    double available() const;
    double credited() const;
  };

  service_budget& FindOrCreateBudget(instant now, const service_name& service);

  std::unordered_map<service_name, service_budget> budgets_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_SERVICE_RETRY_BUDGETS_H_
