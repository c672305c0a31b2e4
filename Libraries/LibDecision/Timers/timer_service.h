#ifndef LIBDECISION_TIMERS_TIMER_SERVICE_H_
#define LIBDECISION_TIMERS_TIMER_SERVICE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibDecision/instant.h"

namespace auburnfold {

/// The parts of the reducer that use timers.
enum class timer_owner : std::uint8_t {
  kCalls,
  kWork,
  kEndpoint,
  kReportAcknowledgement,
  kAdmission,
  kRouting,
  kIdempotencyKeys,
  kConnections,
  kMembership,
  kTable,
  kStop,
  kRegistration,
  kRegistryWatch,
  kRegistryLapse,
  kRouteWatch,
  kNewerRoutes,
  kKeyValidity,
  kCrashRecords,
  kCrashViews,
  kCrashExpiry,
  kQuotaReports,
  kQuotaWaits,
  kQuotaDiscard,
};

/// Identifies a timer: `key` distinguishes the timers of one owner.
struct timer_id {
  timer_owner owner;
  std::uint64_t key = 0;

  friend bool operator==(const timer_id&, const timer_id&) = default;
};

/// Holds the pending timers of all owners. A timer fires once. Scheduling a
/// timer that is already pending replaces its time.
class timer_service {
 public:
  void Schedule(timer_id timer, instant when);
  void Cancel(timer_id timer);

  /// Removes and returns the earliest timer that is due at `now`, if any.
  std::optional<timer_id> PopDue(instant now);

  /// When the earliest pending timer is due, if there is one.
  std::optional<instant> next_due() const;

 private:
  struct timer_id_hash {
    std::size_t operator()(const timer_id& timer) const {
      return std::hash<std::uint64_t>{}(
          timer.key * 31 + static_cast<std::uint64_t>(timer.owner));
    }
  };
  using queue = std::multimap<instant, timer_id>;

  queue queue_;
  std::unordered_map<timer_id, queue::iterator, timer_id_hash> by_id_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TIMERS_TIMER_SERVICE_H_
