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

/// A request that waits for capacity at the endpoint.
struct queued_request {
  work_id work;
  rank admission_rank;
  /// When the request is dropped, since its maximum wait is over or it can no
  /// longer be answered in time.
  instant expires_at;
};

/// Requests that wait for capacity. Higher priorities are dequeued first.
/// Within a priority, classes are served by weight, tenants of a class equally,
/// and the requests of a tenant by rank, so that all nodes prefer the same
/// requests.
class request_queue {
 public:
  void Push(const queued_request& request,
            const class_name& request_class,
            std::uint32_t weight,
            const tenant_name& tenant);
  /// Removes the request to start next; nullopt if the queue is empty.
  std::optional<queued_request> PopNext();
  /// Removes the request to refuse first: the one with the lowest rank in the
  /// lowest priority, of the class with the most requests for its weight and of
  /// the tenant with the most requests in that class.
  std::optional<queued_request> PopLowest();
  /// Returns whether `work` was in the queue.
  bool Remove(work_id work);
  /// Removes and returns all expired requests.
  std::vector<queued_request> PopExpired(instant now);

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  /// Priority of the request to start next. The queue must not be empty.
  std::uint8_t next_priority() const;
  /// Earliest `expires_at`. The queue must not be empty.
  instant earliest_expiry() const;

 private:
  /// Weighted fair queueing: the flow with the lowest virtual time is served
  /// next, and its virtual time advances by the inverse of its weight.
  struct tenant_queue {
    tenant_name tenant;
    double virtual_time = 0;
    /// Ascending by rank.
    std::vector<queued_request> requests;
  };
  struct class_queue {
    class_name request_class;
    std::uint32_t weight = 1;
    double virtual_time = 0;
    double tenant_virtual_time = 0;
    std::size_t size = 0;
    std::vector<tenant_queue> tenants;
  };
  struct priority_queue {
    double class_virtual_time = 0;
    std::size_t size = 0;
    std::vector<class_queue> classes;
  };

  static class_queue& FindOrCreateClass(priority_queue& priority,
                                        const class_name& request_class,
                                        std::uint32_t weight);
  static tenant_queue& FindOrCreateTenant(class_queue& class_flow,
                                          const tenant_name& tenant);
  template <class predicate>
  void RemoveIf(const predicate& is_removed);

  std::array<priority_queue, kHighestPriority + 1> priorities_;
  std::size_t size_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_REQUEST_QUEUE_H_
