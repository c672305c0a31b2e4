#include "fake_endpoint.h"

#include <algorithm>
#include <utility>

namespace auburnfold::scenarios {

fake_endpoint::fake_endpoint(int slots,
                             duration service_time,
                             bool holds_slot_while_waiting,
                             std::uint64_t seed,
                             surroundings around)
    : free_slots_(slots),
      slots_(slots),
      service_time_(service_time),
      holds_slot_while_waiting_(holds_slot_while_waiting),
      random_(seed),
      around_(std::move(around)) {}

void fake_endpoint::Start(work_id work) {
  jobs_[work] = {};
  queue_.push_back(work);
  TakeSlots();
}

void fake_endpoint::Cancel(work_id work) {
  const auto found = jobs_.find(work);
  if (found == jobs_.end()) {
    return;
  }
  Release(found->second);
  jobs_.erase(found);
  TakeSlots();
}

void fake_endpoint::OnDeeperAnswer(work_id work, bool is_useful) {
  const auto found = jobs_.find(work);
  if (found == jobs_.end()) {
    return;
  }
  job& waiting = found->second;
  if (!is_useful) {
    Release(waiting);
    jobs_.erase(found);
    around_.finish(work, false);
    return TakeSlots();
  }
  waiting.now = phase::kAfter;
  if (waiting.has_slot) {
    return Work(work, waiting);
  }
  // Half-done work goes first, since its earlier half is already paid for.
  queue_.push_front(work);
  TakeSlots();
}

void fake_endpoint::Reset() {
  jobs_.clear();
  queue_.clear();
  free_slots_ = slots_;
}

void fake_endpoint::TakeSlots() {
  while (free_slots_ > 0 && !queue_.empty()) {
    const work_id next = queue_.front();
    queue_.pop_front();
    const auto found = jobs_.find(next);
    if (found == jobs_.end()) {
      continue;
    }
    --free_slots_;
    found->second.has_slot = true;
    Work(next, found->second);
  }
}

void fake_endpoint::Work(work_id work, job& started) {
  std::uniform_real_distribution<double> spread(0.25, 0.75);
  const auto length = std::chrono::duration_cast<duration>(
      service_time_ * slowness_ * spread(random_));
  started.ticket = next_ticket_++;
  around_.after(length, [this, work, ticket = started.ticket] {
    const auto found = jobs_.find(work);
    if (found != jobs_.end() && found->second.ticket == ticket) {
      OnWorked(work);
    }
  });
}

void fake_endpoint::OnWorked(work_id work) {
  job& worked = jobs_.at(work);
  if (worked.now == phase::kAfter) {
    Release(worked);
    jobs_.erase(work);
    around_.finish(work, true);
    return TakeSlots();
  }
  worked.now = phase::kWaiting;
  if (!holds_slot_while_waiting_) {
    Release(worked);
  }
  if (!around_.call_deeper(work)) {
    // The deepest service does both halves of its work at once.
    return OnDeeperAnswer(work, true);
  }
  TakeSlots();
}

void fake_endpoint::Release(job& from) {
  if (from.has_slot) {
    from.has_slot = false;
    ++free_slots_;
  }
}

}  // namespace auburnfold::scenarios
