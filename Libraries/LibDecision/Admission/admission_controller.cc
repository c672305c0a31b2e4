#include "LibDecision/Admission/admission_controller.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr std::uint32_t kFixedLimit = 64;
constexpr std::size_t kMinQueueLimit = 32;
constexpr std::size_t kMaxQueueLimit = 1024;
/// Minimum interval between two removals of expired requests.
constexpr duration kMinExpiryInterval = std::chrono::milliseconds(1);
constexpr duration kBaseRetryAfter = std::chrono::milliseconds(100);
constexpr duration kMaxRetryAfter = std::chrono::seconds(1);
constexpr duration kColdPeriod = std::chrono::seconds(5);
/// A root call waits for at most its latency objective divided by this.
constexpr int kRootWaitDivisor = 8;
/// The same for a child call of work that has already started.
constexpr int kChildWaitDivisor = 2;
/// The highest priority may exceed the limit by the limit divided by this.
constexpr std::uint32_t kReserveDivisor = 4;

std::variant<adaptive_limit, announced_limit, fixed_limit> MakeLimit(
    limit_choice choice) {
  switch (choice) {
    case limit_choice::kAdaptive:
      return adaptive_limit();
    case limit_choice::kAnnounced:
      return announced_limit();
    case limit_choice::kFixed:
      return fixed_limit(kFixedLimit);
    case limit_choice::kUnlimited:
      return fixed_limit(fixed_limit::kUnlimited);
  }
  return adaptive_limit();
}

// A root call waits only briefly, so that a refused caller learns soon that it
// has to retry. Refusing a child call loses the work already done for its
// request, so child calls may wait longer.
duration MaxQueueWait(const request_facts& facts,
                      const row_settings& settings) {
  if (facts.objective <= duration::zero()) {
    return settings.queue_limit;
  }
  return facts.depth > 0 ? facts.objective / kChildWaitDivisor
                         : facts.objective / kRootWaitDivisor;
}

rank RankOf(const request_facts& facts, const row_settings& settings) {
  return RankOf(facts.priority.value_or(settings.priority), facts.root);
}

}  // namespace

admission_controller::admission_controller(limit_choice choice)
    : limit_(MakeLimit(choice)) {}

std::vector<admission_decision> admission_controller::Offer(
    step& now,
    work_id work,
    const request_facts& facts,
    const row_settings& settings) {
  const rank request_rank = RankOf(facts, settings);
  const auto priority =
      static_cast<std::uint8_t>(request_rank.value / kRanksPerPriority);
  demand_.OnOffered(now.now(), facts.request_class, settings.weight,
                    request_rank);
  std::vector<admission_decision> decisions;
  if (!IsBelowClassLimit(facts.request_class, settings)) {
    Refuse(now, work, error_kind::kOverloaded, decisions);
    return decisions;
  }
  if (HasCapacity(priority) && queue_.empty()) {
    ++work_count_by_class_[facts.request_class];
    return {Admit(now, work, facts.request_class)};
  }
  const auto on_limit_reached = [this](auto& limit) {
    limit.OnLimitReached(occupancy_);
  };
  std::visit(on_limit_reached, limit_);
  const bool has_queue =
      std::visit([](const auto& limit) { return limit.has_queue(); }, limit_);
  if (!has_queue) {
    Refuse(now, work, error_kind::kOverloaded, decisions);
    return decisions;
  }
  const instant deadline =
      now.now() + facts.time_left - times_.MinTotalTime(facts.request_class);
  const queued_request request{
      work, request_rank,
      std::min(deadline, now.now() + MaxQueueWait(facts, settings))};
  return Enqueue(now, request, facts, settings);
}

std::vector<admission_decision> admission_controller::Enqueue(
    step& now,
    const queued_request& request,
    const request_facts& facts,
    const row_settings& settings) {
  std::vector<admission_decision> decisions;
  if (request.expires_at <= now.now()) {
    Refuse(now, request.work, error_kind::kQueueDeadline, decisions);
    return decisions;
  }
  queue_.Push(request, facts.request_class, settings.weight, facts.tenant);
  ++work_count_by_class_[facts.request_class];
  queued_classes_[request.work] = facts.request_class;
  if (next_expiry_ && request.expires_at < *next_expiry_) {
    ScheduleExpiry(now, request.expires_at);
  }
  if (queue_.size() > QueueLimit()) {
    const queued_request last = *queue_.PopLowest();
    ReleaseClass(queued_classes_.extract(last.work).mapped());
    Refuse(now, last.work, error_kind::kOverloaded, decisions);
  }
  const std::vector<admission_decision> admitted = AdmitQueued(now);
  decisions.insert(decisions.end(), admitted.begin(), admitted.end());
  return decisions;
}

std::vector<admission_decision> admission_controller::OnFinished(
    step& now,
    work_id work,
    const outcome& result) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end()) {
    return {};
  }
  const class_name request_class = found->second.request_class;
  const duration total_time = now.now() - found->second.started;
  const bool is_refused =
      !result.is_whole() && result.ran == run_state::kNotRun;
  if (result.is_whole()) {
    times_.OnTotalTime(request_class, total_time);
  }
  if (result.is_whole() || is_refused) {
    RecordSample(now.now(), found->second, is_refused);
  }
  demand_.OnFinished(now.now());
  RemoveAdmitted(work);
  return AdmitQueued(now);
}

std::vector<admission_decision> admission_controller::OnCancelled(
    step& now,
    work_id work) {
  if (const auto queued = queued_classes_.extract(work)) {
    ReleaseClass(queued.mapped());
    queue_.Remove(work);
    UpdateQueueState(now);
    return {};
  }
  RemoveAdmitted(work);
  return AdmitQueued(now);
}

std::vector<admission_decision> admission_controller::OnWaiting(step& now,
                                                                work_id work) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end() || found->second.is_waiting) {
    return {};
  }
  RecordSample(now.now(), found->second, false);
  found->second.is_waiting = true;
  --occupancy_.active;
  return AdmitQueued(now);
}

void admission_controller::OnResumed(work_id work) {
  const auto found = admitted_.find(work);
  if (found == admitted_.end() || !found->second.is_waiting) {
    return;
  }
  found->second.is_waiting = false;
  ++occupancy_.active;
}

std::vector<admission_decision> admission_controller::OnTimer(step& now,
                                                              std::uint64_t) {
  return AdmitQueued(now);
}

void admission_controller::OnEndpointReported(step& now,
                                              const endpoint_reported& report) {
  connection_limit_ = report.connection_limit;
  if (auto* announced = std::get_if<announced_limit>(&limit_)) {
    announced->SetSlots(report.slots);
  }
  if (report.run != endpoint_incarnation_) {
    endpoint_incarnation_ = report.run;
    endpoint_started_ = now.now();
  }
}

void admission_controller::DescribeLoad(instant now,
                                        const request_facts& facts,
                                        answer_facts& answer) const {
  answer.level = demand_.LevelFor(facts.request_class);
  answer.in_flight =
      occupancy_.total + static_cast<std::uint32_t>(queue_.size());
  const double served = std::max(demand_.served_fraction(), 0.01);
  const auto scaled = std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::nano>(kBaseRetryAfter) / served);
  answer.retry_after = std::min(scaled, kMaxRetryAfter);
  answer.is_cold = now - endpoint_started_ < kColdPeriod;
}

std::uint32_t admission_controller::limit() const {
  return std::visit([](const auto& limit) { return limit.limit(); }, limit_);
}

// The highest priority may slightly exceed the limit, so that it does not wait
// behind long-running requests of lower priorities.
bool admission_controller::HasCapacity(std::uint8_t priority) const {
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
    step& now,
    work_id work,
    const class_name& request_class) {
  ++occupancy_.active;
  ++occupancy_.total;
  admitted_[work] = {request_class, now.now()};
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

std::vector<admission_decision> admission_controller::AdmitQueued(step& now) {
  std::vector<admission_decision> decisions;
  DropExpired(now, decisions);
  while (!queue_.empty() && HasCapacity(queue_.next_priority())) {
    const queued_request first = *queue_.PopNext();
    const auto queued = queued_classes_.extract(first.work);
    decisions.push_back(Admit(now, first.work, queued.mapped()));
  }
  UpdateQueueState(now);
  return decisions;
}

void admission_controller::DropExpired(
    step& now,
    std::vector<admission_decision>& decisions) {
  if (queue_.empty() || !next_expiry_ || *next_expiry_ > now.now()) {
    return;
  }
  for (const queued_request& expired : queue_.PopExpired(now.now())) {
    ReleaseClass(queued_classes_.extract(expired.work).mapped());
    Refuse(now, expired.work, error_kind::kQueueDeadline, decisions);
  }
  next_expiry_.reset();
}

void admission_controller::Refuse(step& now,
                                  work_id work,
                                  error_kind kind,
                                  std::vector<admission_decision>& decisions) {
  now.Count(kind == error_kind::kQueueDeadline ? counter::kDroppedFromQueue
                                               : counter::kRefusedByLimit);
  decisions.push_back({work, kind});
}

void admission_controller::UpdateQueueState(step& now) {
  demand_.OnQueueChanged(now.now(), !queue_.empty());
  if (queue_.empty()) {
    if (next_expiry_) {
      next_expiry_.reset();
      now.timers().Cancel({timer_owner::kAdmission});
    }
    return;
  }
  if (next_expiry_) {
    return;
  }
  ScheduleExpiry(now, queue_.earliest_expiry());
}

void admission_controller::ScheduleExpiry(step& now, instant when) {
  next_expiry_ = std::max(when, now.now() + kMinExpiryInterval);
  now.timers().Subscribe({timer_owner::kAdmission}, *next_expiry_);
}

// About as many requests as the endpoint finishes in two service times.
std::size_t admission_controller::QueueLimit() const {
  return std::clamp<std::size_t>(std::size_t{2} * limit(), kMinQueueLimit,
                                 kMaxQueueLimit);
}

}  // namespace auburnfold
