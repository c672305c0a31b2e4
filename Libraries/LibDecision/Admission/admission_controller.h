#ifndef LIBDECISION_ADMISSION_ADMISSION_CONTROLLER_H_
#define LIBDECISION_ADMISSION_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "LibDecision/Admission/adaptive_limit.h"
#include "LibDecision/Admission/announced_limit.h"
#include "LibDecision/Admission/capacity_estimator.h"
#include "LibDecision/Admission/fixed_limit.h"
#include "LibDecision/Admission/rate_limiter.h"
#include "LibDecision/Admission/request_queue.h"
#include "LibDecision/Admission/service_times.h"
#include "LibDecision/Pressure/demand_meter.h"
#include "LibDecision/answer_metadata.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"
#include "LibDecision/outcome.h"
#include "LibDecision/request_metadata.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// The decision on one request.
struct admission_decision {
  work_id work;
  /// Unset if the request is admitted, otherwise the reason for refusing it.
  std::optional<error_kind> refusal;
};

/// Decides which requests forwarded to this node may start at the local
/// endpoint, and when.
class admission_controller {
 public:
  explicit admission_controller(limit_mode mode);

  /// Offers a new request. The returned decisions may also concern other,
  /// queued requests. A request without a decision waits in the queue.
  std::vector<admission_decision> Offer(event_context& context,
                                        work_id work,
                                        const request_metadata& metadata,
                                        const row_settings& settings);
  /// An admitted request ended.
  std::vector<admission_decision> OnFinished(event_context& context,
                                             work_id work,
                                             const outcome& result);
  /// A queued or admitted request was cancelled.
  std::vector<admission_decision> OnCancelled(event_context& context,
                                              work_id work);
  /// An admitted request waits for a child call.
  std::vector<admission_decision> OnWaiting(event_context& context,
                                            work_id work);
  /// An admitted request has no pending child calls any more.
  void OnResumed(work_id work);
  std::vector<admission_decision> OnTimer(event_context& context,
                                          std::uint64_t key);
  void OnEndpointReported(event_context& context,
                          const endpoint_reported& report);

  /// Whether the learned capacity of the endpoint limits its requests, and
  /// those of running call trees wait longer and start first.
  void set_plans(bool plans) { plans_ = plans; }

  /// Limits the rate at which requests are started; unset ends the limit.
  std::vector<admission_decision> SetRateLimit(
      event_context& context,
      std::optional<request_rate> rate);

  /// Sets the admission level, in-flight count, retry delay and cold start flag
  /// in `answer`, the answer to a request with `metadata`.
  void DescribeLoad(instant now,
                    const request_metadata& metadata,
                    answer_metadata& answer) const;

  /// Interval at which each of `sender_count` nodes may send requests, so that
  /// together they use the rate limit; zero while it is not used up.
  duration SendInterval(instant now, std::size_t sender_count) const;

  /// Number of admitted requests that have not ended.
  std::uint32_t running() const { return occupancy_.total; }
  /// Number of requests in the queue.
  std::size_t queued() const { return queue_.size(); }
  /// Maximum number of concurrently active requests.
  std::uint32_t limit() const;
  /// Time that a request usually needs at the endpoint; zero if unknown.
  duration ExpectedTotalTime(const class_name& request_class) const {
    return times_.ExpectedTotalTime(request_class);
  }

 private:
  using limit_variant =
      std::variant<adaptive_limit, announced_limit, fixed_limit>;
  struct admitted_work {
    class_name request_class;
    instant started;
    /// Requests at the endpoint when it started, itself included.
    std::uint32_t in_use = 0;
    bool is_waiting = false;
    /// A sample of this request was passed to the limit.
    bool is_sampled = false;
  };

  bool HasCapacity(std::uint8_t priority) const;
  bool IsLimitedByCapacity() const;
  /// Whether a request that has a slot waits only for the rate limit.
  bool WaitsOnlyForRate(instant now) const;
  bool IsBelowClassLimit(const class_name& request_class,
                         const row_settings& settings) const;
  admission_decision Admit(event_context& context,
                           work_id work,
                           const class_name& request_class);
  std::vector<admission_decision> Enqueue(event_context& context,
                                          const queued_request& request,
                                          const request_metadata& metadata,
                                          std::uint32_t weight);
  std::vector<admission_decision> AdmitQueued(event_context& context);
  void RecordSample(instant now, admitted_work& work, bool is_refused);
  void RemoveAdmitted(work_id work);
  void ReleaseClass(const class_name& request_class);
  void DropExpired(event_context& context,
                   std::vector<admission_decision>& decisions);
  void Refuse(event_context& context,
              work_id work,
              error_kind kind,
              std::vector<admission_decision>& decisions);
  void UpdateQueueState(event_context& context);
  void ScheduleExpiry(event_context& context, instant when);
  std::size_t QueueCapacity() const;

  limit_variant limit_;
  capacity_estimator capacity_;
  bool plans_ = false;
  rate_limiter rate_limiter_;
  std::uint32_t connection_limit_ = 0;
  endpoint_occupancy occupancy_;
  request_queue queue_;
  service_times times_;
  demand_meter demand_;
  std::unordered_map<work_id, admitted_work> admitted_;
  std::unordered_map<work_id, class_name> queued_classes_;
  /// Number of queued and admitted requests of each class.
  std::unordered_map<class_name, std::uint32_t> work_count_by_class_;
  std::optional<instant> next_expiry_;
  incarnation endpoint_incarnation_;
  instant endpoint_started_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_ADMISSION_CONTROLLER_H_
