#ifndef LIBDECISION_ADMISSION_ADMISSION_H_
#define LIBDECISION_ADMISSION_ADMISSION_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "LibDecision/Admission/adaptive_limit.h"
#include "LibDecision/Admission/announced_limit.h"
#include "LibDecision/Admission/fixed_limit.h"
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

/// What was decided about one work.
struct admission_decision {
  work_id work;
  /// Run it if unset, otherwise refuse it.
  std::optional<error_kind> refusal;
};

/// Decides which work may run at the own endpoint, and when.
class admission {
 public:
  explicit admission(limit_mode choice);

  /// Offers new work. The decisions may concern other, queued work; work that
  /// is in no decision waits in the queue.
  std::vector<admission_decision> Offer(event_context& context,
                                        work_id work,
                                        const request_metadata& metadata,
                                        const row_settings& settings);
  /// Admitted work ended.
  std::vector<admission_decision> OnFinished(event_context& context,
                                             work_id work,
                                             const outcome& result);
  /// Queued or admitted work is no longer wanted.
  std::vector<admission_decision> OnCancelled(event_context& context,
                                              work_id work);
  /// Admitted work began to wait for a deeper call.
  std::vector<admission_decision> OnWaiting(event_context& context,
                                            work_id work);
  /// Admitted work has no open deeper call any more.
  void OnResumed(work_id work);
  std::vector<admission_decision> OnTimer(event_context& context,
                                          std::uint64_t key);
  void OnEndpointReported(event_context& context,
                          const endpoint_reported& report);

  /// Fills in level, in-flight count and delay for an answer to `metadata`.
  void Describe(instant now,
                const request_metadata& metadata,
                answer_metadata& answer) const;

  /// Works admitted and not yet ended.
  std::uint32_t running() const { return occupancy_.total; }
  /// Works waiting in the queue.
  std::size_t queued() const { return queue_.size(); }
  /// Most active works at once.
  std::uint32_t limit() const;

 private:
  using limit_variant =
      std::variant<adaptive_limit, announced_limit, fixed_limit>;
  struct admitted_work {
    class_name request_class;
    instant started;
    bool is_waiting = false;
    /// The limit has learned from it.
    bool is_sampled = false;
  };

  bool HasRoom(std::uint8_t priority) const;
  bool HasClassRoom(const class_name& request_class,
                    const row_settings& settings) const;
  admission_decision Admit(event_context& context,
                           work_id work,
                           const class_name& request_class);
  std::vector<admission_decision> Enqueue(event_context& context,
                                          const queued_request& request,
                                          const request_metadata& metadata,
                                          const row_settings& settings);
  std::vector<admission_decision> FillRoom(event_context& context);
  void Sample(instant now, admitted_work& work, bool is_refused);
  void Forget(work_id work);
  void ReleaseClass(const class_name& request_class);
  void DropExpired(event_context& context,
                   std::vector<admission_decision>& decisions);
  void Refuse(event_context& context,
              work_id work,
              error_kind kind,
              std::vector<admission_decision>& decisions);
  void WatchQueue(event_context& context);
  void WatchExpiry(event_context& context, instant when);
  std::size_t QueueLimit() const;

  limit_variant limit_;
  std::uint32_t connection_limit_ = 0;
  endpoint_occupancy occupancy_;
  request_queue queue_;
  service_times times_;
  demand_meter demand_;
  std::unordered_map<work_id, admitted_work> admitted_;
  std::unordered_map<work_id, class_name> queued_classes_;
  /// Queued and admitted works.
  std::unordered_map<class_name, std::uint32_t> held_per_class_;
  std::optional<instant> next_expiry_;
  incarnation endpoint_run_;
  instant endpoint_since_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_ADMISSION_H_
