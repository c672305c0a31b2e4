#ifndef STANDINS_SLOT_QUEUE_H_
#define STANDINS_SLOT_QUEUE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Names one request inside a stand-in endpoint.
using run_number = std::uint64_t;

/// A fixed number of slots with a FIFO queue in front of them.
class slot_queue {
 public:
  /// `slots` is at least 1.
  explicit slot_queue(std::uint32_t slots);

  void Add(run_number run);
  /// Puts the first of the queue into a free slot; nothing if there is none.
  std::optional<run_number> StartNext();
  /// Frees the slot of `run` or takes it out of the queue.
  void Remove(run_number run);

  std::uint32_t slots() const { return slots_; }
  std::size_t queued() const { return queue_.size(); }
  std::size_t running() const { return running_.size(); }

 private:
  std::uint32_t slots_;
  std::deque<run_number> queue_;
  std::unordered_set<run_number> running_;
};

}  // namespace auburnfold

#endif  // STANDINS_SLOT_QUEUE_H_
