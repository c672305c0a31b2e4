#include "LibDecision/Admission/admission.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr std::uint32_t kFixedLimit = 64;
constexpr std::size_t kShortestQueue = 32;
constexpr std::size_t kLongestQueue = 1024;
/// Expired requests are looked for at most this often.
constexpr duration kExpiryGrain = std::chrono::milliseconds(1);
constexpr duration kBaseRetryAfter = std::chrono::milliseconds(100);
constexpr duration kLongestRetryAfter = std::chrono::seconds(1);
constexpr duration kColdPeriod = std::chrono::seconds(5);
/// Part of its latency objective that a request waits at most.
constexpr int kRootWaitPart = 8;
/// The same for a call of work that already runs.
constexpr int kCallWaitPart = 2;
/// Share of the limit that the highest priority may use on top.
constexpr std::uint32_t kReservedPart = 4;

std::variant<adaptive_limit, announced_limit, fixed_limit> Make(
    limit_mode choice) {
  switch (choice) {
    case limit_mode::kAdaptive:
      return adaptive_limit();
    case limit_mode::kAnnounced:
      return announced_limit();
    case limit_mode::kFixed:
      return fixed_limit(kFixedLimit);
    case limit_mode::kUnlimited:
      return fixed_limit(fixed_limit::kUnlimited);
  }
  return adaptive_limit();
}

// A caller that is to come back must learn it soon; work that already ran for
// a request is lost if one of its calls is refused, so those may wait longer.
duration LongestWait(const request_metadata& metadata,
                     const row_settings& settings) {
  if (metadata.objective <= duration::zero()) {
    return settings.queue_limit;
  }
  return metadata.depth > 0 ? metadata.objective / kCallWaitPart
                            : metadata.objective / kRootWaitPart;
}

rank RankOf(const request_metadata& metadata, const row_settings& settings) {
  return RankOf(metadata.priority.value_or(settings.priority), metadata.root);
}

}  // namespace

admission::admission(limit_mode choice) : limit_(Make(choice)) {}

std::vector<admission_decision> admission::Offer(
    event_context& context,
    work_id work,
    const request_metadata& metadata,
    const row_settings& settings) {
  const rank position = RankOf(metadata, settings);
  const auto priority =
      static_cast<std::uint8_t>(position.value / kRanksPerPriority);
  demand_.OnOffered(context.now(), metadata.request_class, settings.weight,
                    position);
  std::vector<admission_decision> decisions;
  if (!HasClassRoom(metadata.request_class, settings)) {
    Refuse(context, work, error_kind::kOverloaded, decisions);
    return decisions;
  }
  if (HasRoom(priority) && queue_.empty()) {
    ++held_per_class_[metadata.request_class];
    return {Admit(context, work, metadata.request_class)};
  }
  const auto on_limited = [this](auto& limit) { limit.OnLimited(occupancy_); };
  std::visit(on_limited, limit_);
  const bool has_queue =
      std::visit([](const auto& limit) { return limit.has_queue(); }, limit_);
  if (!has_queue) {
    Refuse(context, work, error_kind::kOverloaded, decisions);
    return decisions;
  }
  const instant deadline = context.now() + metadata.time_left -
                           times_.ShortestWhole(metadata.request_class);
  const queued_request request{
      work, position,
      std::min(deadline, context.now() + LongestWait(metadata, settings))};
  return Enqueue(context, request, metadata, settings);
}

std::vector<admission_decision> admission::Enqueue(
    event_context& context,
    const queued_request& request,
    const request_metadata& metadata,
    const row_settings& settings) {
  std::vector<admission_decision> decisions;
  if (request.useful_until <= context.now()) {
    Refuse(context, request.work, error_kind::kQueueDeadline, decisions);
    return decisions;
  }
  queue_.Push(request, metadata.request_class, settings.weight,
              metadata.tenant);
  ++held_per_class_[metadata.request_class];
  queued_classes_[request.work] = metadata.request_class;
  if (next_expiry_ && request.useful_until < *next_expiry_) {
    WatchExpiry(context, request.useful_until);
  }
  if (queue_.size() > QueueLimit()) {
    const queued_request last = *queue_.PopLast();
    ReleaseClass(queued_classes_.extract(last.work).mapped());
    Refuse(context, last.work, error_kind::kOverloaded, decisions);
  }
  const std::vector<admission_decision> admitted = FillRoom(context);
  decisions.insert(decisions.end(), admitted.begin(), admitted.end());
  return decisions;
}

std::vector<admission_decision> admission::OnFinished(event_context& context,
                                                      work_id work,
                                                      const outcome& result) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end()) {
    return {};
  }
  const class_name request_class = found->second.request_class;
  const duration whole_time = context.now() - found->second.started;
  const bool is_refused = !result.is_complete() &&
                          result.execution == execution_state::kNotExecuted;
  if (result.is_complete()) {
    times_.OnWhole(request_class, whole_time);
  }
  if (result.is_complete() || is_refused) {
    Sample(context.now(), found->second, is_refused);
  }
  demand_.OnFinished(context.now());
  Forget(work);
  return FillRoom(context);
}

std::vector<admission_decision> admission::OnCancelled(event_context& context,
                                                       work_id work) {
  if (const auto queued = queued_classes_.extract(work)) {
    ReleaseClass(queued.mapped());
    queue_.Remove(work);
    WatchQueue(context);
    return {};
  }
  Forget(work);
  return FillRoom(context);
}

std::vector<admission_decision> admission::OnWaiting(event_context& context,
                                                     work_id work) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end() || found->second.is_waiting) {
    return {};
  }
  Sample(context.now(), found->second, false);
  found->second.is_waiting = true;
  --occupancy_.active;
  return FillRoom(context);
}

void admission::OnResumed(work_id work) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end() || !found->second.is_waiting) {
    return;
  }
  found->second.is_waiting = false;
  ++occupancy_.active;
}

std::vector<admission_decision> admission::OnTimer(event_context& context,
                                                   std::uint64_t) {
  return FillRoom(context);
}

void admission::OnEndpointReported(event_context& context,
                                   const endpoint_reported& report) {
  connection_limit_ = report.connection_limit;
  if (auto* announced = std::get_if<announced_limit>(&limit_)) {
    announced->SetSlots(report.slots);
  }
  if (report.run != endpoint_run_) {
    endpoint_run_ = report.run;
    endpoint_since_ = context.now();
  }
}

void admission::Describe(instant now,
                         const request_metadata& metadata,
                         answer_metadata& answer) const {
  answer.level = demand_.LevelFor(metadata.request_class);
  answer.in_flight =
      occupancy_.total + static_cast<std::uint32_t>(queue_.size());
  const double share = std::max(demand_.served_share(), 0.01);
  const auto pressed = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::nano>(kBaseRetryAfter) / share);
  answer.retry_after = std::min(pressed, kLongestRetryAfter);
  answer.is_cold = now - endpoint_since_ < kColdPeriod;
}

std::uint32_t admission::limit() const {
  return std::visit([](const auto& limit) { return limit.limit(); }, limit_);
}

// The highest priority may go a little over the limit, so that it does not
// wait behind lower work that takes long.
bool admission::HasRoom(std::uint8_t priority) const {
  if (connection_limit_ > 0 && occupancy_.total >= connection_limit_) {
    return false;
  }
  endpoint_occupancy counted = occupancy_;
  const bool may_go_over = std::visit(
      [](const auto& limit) { return limit.lets_important_over(); }, limit_);
  if (may_go_over && priority == kHighestPriority) {
    const std::uint32_t reserved = 1 + limit() / kReservedPart;
    counted.active -= std::min(counted.active, reserved);
    counted.total -= std::min(counted.total, reserved);
  }
  return std::visit(
      [counted](const auto& limit) { return limit.HasRoom(counted); }, limit_);
}

bool admission::HasClassRoom(const class_name& request_class,
                             const row_settings& settings) const {
  if (settings.concurrency_limit == 0) {
    return true;
  }
  const auto found = held_per_class_.find(request_class);
  return found == held_per_class_.end() ||
         found->second < settings.concurrency_limit;
}

admission_decision admission::Admit(event_context& context,
                                    work_id work,
                                    const class_name& request_class) {
  ++occupancy_.active;
  ++occupancy_.total;
  admitted_[work] = {request_class, context.now()};
  return {work, std::nullopt};
}

void admission::Sample(instant now, admitted_work& work, bool is_refused) {
  if (work.is_sampled) {
    return;
  }
  work.is_sampled = true;
  const limit_sample sample{occupancy_, work.started, now - work.started,
                            times_.ExpectedOwn(work.request_class), is_refused};
  if (!is_refused) {
    times_.OnOwn(work.request_class, sample.own_time);
  }
  times_.Rescale(std::visit(
      [&](auto& limit) { return limit.OnSample(now, sample); }, limit_));
}

void admission::Forget(work_id work) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end()) {
    return;
  }
  --occupancy_.total;
  if (!found->second.is_waiting) {
    --occupancy_.active;
  }
  ReleaseClass(found->second.request_class);
  admitted_.erase(found);
}

void admission::ReleaseClass(const class_name& request_class) {
  const auto count = held_per_class_.find(request_class);
  if (--count->second == 0) {
    held_per_class_.erase(count);
  }
}

std::vector<admission_decision> admission::FillRoom(event_context& context) {
  std::vector<admission_decision> decisions;
  DropExpired(context, decisions);
  while (!queue_.empty() && HasRoom(queue_.first_priority())) {
    const queued_request first = *queue_.PopFirst();
    const auto queued = queued_classes_.extract(first.work);
    decisions.push_back(Admit(context, first.work, queued.mapped()));
  }
  WatchQueue(context);
  return decisions;
}

void admission::DropExpired(event_context& context,
                            std::vector<admission_decision>& decisions) {
  if (queue_.empty() || !next_expiry_ || *next_expiry_ > context.now()) {
    return;
  }
  for (const queued_request& expired : queue_.PopExpired(context.now())) {
    ReleaseClass(queued_classes_.extract(expired.work).mapped());
    Refuse(context, expired.work, error_kind::kQueueDeadline, decisions);
  }
  next_expiry_.reset();
}

void admission::Refuse(event_context& context,
                       work_id work,
                       error_kind kind,
                       std::vector<admission_decision>& decisions) {
  context.Count(kind == error_kind::kQueueDeadline ? counter::kDroppedFromQueue
                                                   : counter::kRefusedByLimit);
  decisions.push_back({work, kind});
}

void admission::WatchQueue(event_context& context) {
  demand_.OnWaiting(context.now(), !queue_.empty());
  if (queue_.empty()) {
    if (next_expiry_) {
      next_expiry_.reset();
      context.timers().Cancel({timer_owner::kAdmission});
    }
    return;
  }
  if (next_expiry_) {
    return;
  }
  WatchExpiry(context, queue_.first_expiry());
}

void admission::WatchExpiry(event_context& context, instant when) {
  next_expiry_ = std::max(when, context.now() + kExpiryGrain);
  context.timers().Schedule({timer_owner::kAdmission}, *next_expiry_);
}

// About as many as the endpoint finishes in two service times.
std::size_t admission::QueueLimit() const {
  return std::clamp<std::size_t>(std::size_t{2} * limit(), kShortestQueue,
                                 kLongestQueue);
}

}  // namespace auburnfold
