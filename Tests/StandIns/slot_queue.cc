#include "StandIns/slot_queue.h"

#include <cassert>

namespace auburnfold {

slot_queue::slot_queue(std::uint32_t slots) : slots_(slots) {
  assert(slots_ > 0);
}

void slot_queue::Add(run_number run) {
  queue_.push_back(run);
}

std::optional<run_number> slot_queue::StartNext() {
  if (queue_.empty() || running_.size() >= slots_) {
    return std::nullopt;
  }
  const run_number next = queue_.front();
  queue_.pop_front();
  running_.insert(next);
  return next;
}

void slot_queue::Remove(run_number run) {
  if (running_.erase(run) == 0) {
    std::erase(queue_, run);
  }
}

}  // namespace auburnfold
