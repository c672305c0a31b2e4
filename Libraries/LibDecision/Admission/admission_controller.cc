#include "LibDecision/Admission/admission_controller.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "LibDecision/Admission/queue_wait.h"

namespace auburnfold {

namespace {

constexpr std::uint32_t kFixedLimit = 64;
constexpr std::size_t kMinQueueCapacity = 32;
constexpr std::size_t kMaxQueueCapacity = 1024;
/// Minimum interval between two removals of expired requests.
constexpr duration kMinExpiryInterval = std::chrono::milliseconds(1);
constexpr duration kBaseRetryAfter = std::chrono::milliseconds(100);
constexpr duration kMaxRetryAfter = std::chrono::seconds(1);
constexpr duration kColdPeriod = std::chrono::seconds(5);
/// With a rate limit, as many requests are queued as start within this time.
constexpr double kRateQueueSeconds = 0.1;
/// Bounds the time until a sender notices that a limit has ended.
constexpr duration kMaxSendInterval = std::chrono::seconds(4);
/// Key of the timer that fires when the rate limit admits the next request. The
/// other timer, with key 0, removes expired requests.
constexpr std::uint64_t kRateTimerKey = 1;
/// The highest priority may exceed the limit by the limit divided by this.
constexpr std::uint32_t kReserveDivisor = 4;

std::variant<adaptive_limit, announced_limit, fixed_limit> MakeLimit(
    limit_mode mode) {
  switch (mode) {
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

counter CounterOf(error_kind refusal) {
  switch (refusal) {
    case error_kind::kQueueDeadline:
      return counter::kDroppedFromQueue;
    case error_kind::kRateLimited:
      return counter::kRefusedByRateLimit;
    default:
      return counter::kRefusedByLimit;
  }
}

rank RankOf(const request_metadata& metadata, const row_settings& settings) {
  return RankOf(metadata.priority.value_or(settings.priority), metadata.root);
}

}  // namespace

admission_controller::admission_controller(limit_mode mode)
    : limit_(MakeLimit(mode)) {}

std::vector<admission_decision> admission_controller::Offer(
    event_context& context,
    work_id work,
    const request_metadata& metadata,
    const row_settings& settings) {
  const rank request_rank = RankOf(metadata, settings);
  const auto priority =
      static_cast<std::uint8_t>(request_rank.value / kRanksPerPriority);
  demand_.OnOffered(context.now(), metadata.request_class, settings.weight,
                    request_rank);
  std::vector<admission_decision> decisions;
  if (!IsBelowClassLimit(metadata.request_class, settings)) {
    Refuse(context, work, error_kind::kOverloaded, decisions);
    return decisions;
  }
  const bool has_capacity = HasCapacity(priority);
  if (has_capacity && queue_.empty() && rate_limiter_.HasToken(context.now())) {
    ++work_count_by_class_[metadata.request_class];
    return {Admit(context, work, metadata.request_class)};
  }
  const auto on_limit_reached = [this](auto& limit) {
    limit.OnLimitReached(occupancy_);
  };
  const bool waits_for_rate = has_capacity && rate_limiter_.rate();
  if (!waits_for_rate) {
    std::visit(on_limit_reached, limit_);
  }
  const bool has_queue =
      std::visit([](const auto& limit) { return limit.has_queue(); }, limit_);
  if (!has_queue) {
    Refuse(context, work,
           waits_for_rate ? error_kind::kRateLimited : error_kind::kOverloaded,
           decisions);
    return decisions;
  }
  const instant deadline = context.now() + metadata.time_left -
                           times_.MinTotalTime(metadata.request_class);
  const queued_request request{
      work, QueueRank(metadata, request_rank, plans_),
      std::min(deadline,
               context.now() + MaxQueueWait(metadata, settings, plans_))};
  // No queue order can start it in time.
  if (waits_for_rate &&
      rate_limiter_.NextTokenAt(context.now()) > request.expires_at) {
    Refuse(context, work, error_kind::kRateLimited, decisions);
    return decisions;
  }
  return Enqueue(context, request, metadata,
                 QueueWeight(metadata, settings, plans_));
}

std::vector<admission_decision> admission_controller::Enqueue(
    event_context& context,
    const queued_request& request,
    const request_metadata& metadata,
    std::uint32_t weight) {
  std::vector<admission_decision> decisions;
  if (request.expires_at <= context.now()) {
    Refuse(context, request.work, error_kind::kQueueDeadline, decisions);
    return decisions;
  }
  queue_.Push(request, metadata.request_class, weight, metadata.tenant);
  ++work_count_by_class_[metadata.request_class];
  queued_classes_[request.work] = metadata.request_class;
  if (next_expiry_ && request.expires_at < *next_expiry_) {
    ScheduleExpiry(context, request.expires_at);
  }
  if (queue_.size() > QueueCapacity()) {
    const error_kind reason = WaitsOnlyForRate(context.now())
                                  ? error_kind::kRateLimited
                                  : error_kind::kOverloaded;
    const queued_request last = *queue_.PopLowest();
    ReleaseClass(queued_classes_.extract(last.work).mapped());
    Refuse(context, last.work, reason, decisions);
  }
  const std::vector<admission_decision> admitted = AdmitQueued(context);
  decisions.insert(decisions.end(), admitted.begin(), admitted.end());
  return decisions;
}

std::vector<admission_decision> admission_controller::OnFinished(
    event_context& context,
    work_id work,
    const outcome& result) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end()) {
    return {};
  }
  const class_name request_class = found->second.request_class;
  const duration total_time = context.now() - found->second.started;
  const bool is_refused = !result.is_complete() &&
                          result.execution == execution_state::kNotExecuted;
  if (result.is_complete()) {
    times_.OnTotalTime(request_class, total_time);
  }
  if (result.is_complete() || is_refused) {
    RecordSample(context.now(), found->second, is_refused);
  }
  demand_.OnFinished(context.now());
  RemoveAdmitted(work);
  return AdmitQueued(context);
}

std::vector<admission_decision> admission_controller::OnCancelled(
    event_context& context,
    work_id work) {
  if (const auto queued = queued_classes_.extract(work)) {
    ReleaseClass(queued.mapped());
    queue_.Remove(work);
    UpdateQueueState(context);
    return {};
  }
  RemoveAdmitted(work);
  return AdmitQueued(context);
}

std::vector<admission_decision> admission_controller::OnWaiting(
    event_context& context,
    work_id work) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end() || found->second.is_waiting) {
    return {};
  }
  RecordSample(context.now(), found->second, false);
  found->second.is_waiting = true;
  --occupancy_.active;
  return AdmitQueued(context);
}

void admission_controller::OnResumed(work_id work) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end() || !found->second.is_waiting) {
    return;
  }
  found->second.is_waiting = false;
  ++occupancy_.active;
}

std::vector<admission_decision> admission_controller::OnTimer(
    event_context& context,
    std::uint64_t) {
  return AdmitQueued(context);
}

void admission_controller::OnEndpointReported(event_context& context,
                                              const endpoint_reported& report) {
  connection_limit_ = report.connection_limit;
  if (auto* announced = std::get_if<announced_limit>(&limit_)) {
    announced->SetSlots(report.slots);
    capacity_.SetMaxLimit(report.slots == 0 ? 0 : announced->limit());
  }
  if (report.run != endpoint_incarnation_) {
    endpoint_incarnation_ = report.run;
    endpoint_started_ = context.now();
  }
}

std::vector<admission_decision> admission_controller::SetRateLimit(
    event_context& context,
    std::optional<request_rate> rate) {
  rate_limiter_.SetRate(context.now(), rate);
  return AdmitQueued(context);
}

void admission_controller::DescribeLoad(instant now,
                                        const request_metadata& metadata,
                                        answer_metadata& answer) const {
  answer.level = demand_.LevelFor(metadata.request_class);
  answer.in_flight =
      occupancy_.total + static_cast<std::uint32_t>(queue_.size());
  const double served = std::max(demand_.served_fraction(), 0.01);
  const auto scaled = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::nano>(kBaseRetryAfter) / served);
  answer.retry_after = std::min(scaled, kMaxRetryAfter);
  if (const auto rate = rate_limiter_.CurrentRate(now)) {
    const double seconds =
        static_cast<double>(queue_.size() + 1) / rate->value();
    answer.retry_after = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
  }
  answer.capacity = plans_ ? capacity_.capacity() : 0;
  answer.is_cold = now - endpoint_started_ < kColdPeriod;
}

duration admission_controller::SendInterval(instant now,
                                            std::size_t sender_count) const {
  const auto rate = rate_limiter_.CurrentRate(now);
  if (!rate || (queue_.empty() && rate_limiter_.HasReserve(now))) {
    return duration::zero();
  }
  const double seconds = static_cast<double>(sender_count) / rate->value();
  return std::min(kMaxSendInterval,
                  std::chrono::duration_cast<duration>(
                      std::chrono::duration<double>(seconds)));
}

std::uint32_t admission_controller::limit() const {
  const auto limit =
      std::visit([](const auto& policy) { return policy.limit(); }, limit_);
  return IsLimitedByCapacity() ? std::min(limit, capacity_.limit()) : limit;
}

// The highest priority may slightly exceed the limit, so that it does not wait
// behind long-running requests of lower priorities.
bool admission_controller::HasCapacity(std::uint8_t priority) const {
  if (IsLimitedByCapacity() && occupancy_.total >= capacity_.limit()) {
    return false;
  }
  if (connection_limit_ > 0 && occupancy_.total >= connection_limit_) {
    return false;
  }
  endpoint_occupancy counted = occupancy_;
  const bool allows_excess = std::visit(
      [](const auto& limit) { return limit.allows_priority_excess(); }, limit_);
  if (allows_excess && priority == kHighestPriority) {
    const std::uint32_t reserved = 1 + limit() / kReserveDivisor;
    counted.active -= std::min(counted.active, reserved);
    counted.total -= std::min(counted.total, reserved);
  }
  return std::visit(
      [counted](const auto& limit) { return limit.HasCapacity(counted); },
      limit_);
}

bool admission_controller::IsLimitedByCapacity() const {
  return plans_ && capacity_.limit() > 0;
}

bool admission_controller::WaitsOnlyForRate(instant now) const {
  return !queue_.empty() && HasCapacity(queue_.next_priority()) &&
         !rate_limiter_.HasToken(now);
}

bool admission_controller::IsBelowClassLimit(
    const class_name& request_class,
    const row_settings& settings) const {
  if (settings.concurrency_limit == 0) {
    return true;
  }
  const auto found = work_count_by_class_.find(request_class);
  return found == work_count_by_class_.end() ||
         found->second < settings.concurrency_limit;
}

admission_decision admission_controller::Admit(
    event_context& context,
    work_id work,
    const class_name& request_class) {
  ++occupancy_.active;
  ++occupancy_.total;
  admitted_[work] = {.request_class = request_class,
                     .started = context.now(),
                     .in_use = occupancy_.total};
  rate_limiter_.OnStarted(context.now());
  return {work, std::nullopt};
}

void admission_controller::RecordSample(instant now,
                                        admitted_work& work,
                                        bool is_refused) {
  if (work.is_sampled) {
    return;
  }
  work.is_sampled = true;
  const limit_sample sample{occupancy_, work.started, now - work.started,
                            times_.ExpectedSelfTime(work.request_class),
                            is_refused};
  if (!is_refused) {
    times_.OnSelfTime(work.request_class, sample.self_time);
    if (plans_) {
      capacity_.OnSample(now, work.request_class, work.in_use, occupancy_.total,
                         sample.self_time);
    }
  }
  times_.Rescale(std::visit(
      [&](auto& limit) { return limit.OnSample(now, sample); }, limit_));
}

void admission_controller::RemoveAdmitted(work_id work) {
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

void admission_controller::ReleaseClass(const class_name& request_class) {
  const auto count = work_count_by_class_.find(request_class);
  if (--count->second == 0) {
    work_count_by_class_.erase(count);
  }
}

std::vector<admission_decision> admission_controller::AdmitQueued(
    event_context& context) {
  std::vector<admission_decision> decisions;
  DropExpired(context, decisions);
  while (!queue_.empty() && HasCapacity(queue_.next_priority()) &&
         rate_limiter_.HasToken(context.now())) {
    const queued_request first = *queue_.PopNext();
    const auto queued = queued_classes_.extract(first.work);
    decisions.push_back(Admit(context, first.work, queued.mapped()));
  }
  UpdateQueueState(context);
  return decisions;
}

void admission_controller::DropExpired(
    event_context& context,
    std::vector<admission_decision>& decisions) {
  if (queue_.empty() || !next_expiry_ || *next_expiry_ > context.now()) {
    return;
  }
  const error_kind reason = WaitsOnlyForRate(context.now())
                                ? error_kind::kRateLimited
                                : error_kind::kQueueDeadline;
  for (const queued_request& expired : queue_.PopExpired(context.now())) {
    ReleaseClass(queued_classes_.extract(expired.work).mapped());
    Refuse(context, expired.work, reason, decisions);
  }
  next_expiry_.reset();
}

void admission_controller::Refuse(event_context& context,
                                  work_id work,
                                  error_kind kind,
                                  std::vector<admission_decision>& decisions) {
  context.Count(CounterOf(kind));
  decisions.push_back({work, kind});
}

// Requests that wait for the rate are not counted as demand: the admission
// level applies to all endpoints of the service, and others may have capacity.
void admission_controller::UpdateQueueState(event_context& context) {
  const bool waits_only_for_rate = WaitsOnlyForRate(context.now());
  demand_.OnQueueChanged(context.now(),
                         !queue_.empty() && !waits_only_for_rate);
  if (waits_only_for_rate) {
    context.timers().Schedule({timer_owner::kAdmission, kRateTimerKey},
                              rate_limiter_.NextTokenAt(context.now()));
  }
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
  ScheduleExpiry(context, queue_.earliest_expiry());
}

void admission_controller::ScheduleExpiry(event_context& context,
                                          instant when) {
  next_expiry_ = std::max(when, context.now() + kMinExpiryInterval);
  context.timers().Schedule({timer_owner::kAdmission}, *next_expiry_);
}

// About as many requests as the endpoint finishes in two service times.
std::size_t admission_controller::QueueCapacity() const {
  const std::size_t capacity = std::clamp<std::size_t>(
      std::size_t{2} * limit(), kMinQueueCapacity, kMaxQueueCapacity);
  if (!rate_limiter_.rate()) {
    return capacity;
  }
  const double rate_capacity =
      std::ceil(rate_limiter_.rate()->value() * kRateQueueSeconds);
  return rate_capacity < static_cast<double>(capacity)
             ? std::max<std::size_t>(static_cast<std::size_t>(rate_capacity), 1)
             : capacity;
}

}  // namespace auburnfold
