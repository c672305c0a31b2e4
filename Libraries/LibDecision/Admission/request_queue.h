#ifndef LIBDECISION_ADMISSION_REQUEST_QUEUE_H_
#define LIBDECISION_ADMISSION_REQUEST_QUEUE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// One request that waits for room at the endpoint.
struct queued_request {
  work_id work;
  rank position;
  /// From here on it is no longer worth running.
  instant useful_until;
};

/// Requests that wait for room. Higher priorities leave first. Within one
/// priority classes leave by weight, tenants of a class in equal numbers, and
/// requests of a tenant by rank, so that other nodes prefer the same ones.
class request_queue {
 public:
  void Push(const queued_request& request,
            const class_name& request_class,
            std::uint32_t weight,
            const tenant_name& tenant);
  /// Removes the request to run next; nothing if the queue is empty.
  std::optional<queued_request> PopFirst();
  /// Removes the request to refuse first: of the lowest priority, of the class
  /// and tenant furthest over their shares, the one of the lowest rank.
  std::optional<queued_request> PopLast();
  /// Returns whether `work` was in the queue.
  bool Remove(work_id work);
  /// Removes and returns all that are no longer worth running.
  std::vector<queued_request> PopExpired(instant now);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Priority of the request to run next; only for a queue that is not empty.
  std::uint8_t first_priority() const;
  /// The earliest `useful_until`; only for a queue that is not empty.
  instant first_expiry() const;

 private:
  /// Shares a turn among `member`s in proportion to their weights.
  struct tenant_queue {
    tenant_name tenant;
    double turn = 0;
    /// Ascending by rank.
    std::vector<queued_request> requests;
  };
  struct class_queue {
    class_name request_class;
    std::uint32_t weight = 1;
    double turn = 0;
    double tenant_turn = 0;
    std::size_t size = 0;
    std::vector<tenant_queue> tenants;
  };
  struct priority_queue {
    double class_turn = 0;
    std::size_t size = 0;
    std::vector<class_queue> classes;
  };

  static class_queue& ClassOf(priority_queue& priority,
                              const class_name& request_class,
                              std::uint32_t weight);
  static tenant_queue& TenantOf(class_queue& within, const tenant_name& tenant);
  template <class predicate>
  void RemoveIf(const predicate& is_removed);

  std::array<priority_queue, kHighestPriority + 1> priorities_;
  std::size_t size_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_REQUEST_QUEUE_H_
