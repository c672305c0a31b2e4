#ifndef TESTS_SCENARIOS_FAKE_ENDPOINT_H_
#define TESTS_SCENARIOS_FAKE_ENDPOINT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <unordered_map>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold::scenarios {

/// An endpoint with a fixed number of slots and a queue of its own, which
/// works, calls one deeper service, and works again.
class fake_endpoint {
 public:
  /// What the endpoint needs from its surroundings.
  struct surroundings {
    std::function<void(duration, std::function<void()>)> after;
    /// Starts the deeper call of a work; false if it has none.
    std::function<bool(work_id)> call_deeper;
    /// The work is done; `is_useful` is false if its deeper call failed.
    std::function<void(work_id, bool is_useful)> finish;
  };

  fake_endpoint(int slots,
                duration service_time,
                bool holds_slot_while_waiting,
                std::uint64_t seed,
                surroundings around);

  void Start(work_id work);
  void Cancel(work_id work);
  void OnDeeperAnswer(work_id work, bool is_useful);
  /// Loses all work, as a replaced endpoint does.
  void Reset();

  /// Whether `work` runs or waits here.
  bool Has(work_id work) const { return jobs_.contains(work); }

  void set_slowness(double times) { slowness_ = times; }

 private:
  enum class phase : std::uint8_t { kBefore, kWaiting, kAfter };
  struct job {
    phase now = phase::kBefore;
    bool has_slot = false;
    std::uint64_t ticket = 0;
  };

  void TakeSlots();
  void Work(work_id work, job& started);
  void OnWorked(work_id work);
  void Release(job& from);

  int free_slots_;
  const int slots_;
  const duration service_time_;
  const bool holds_slot_while_waiting_;
  double slowness_ = 1;
  std::mt19937_64 random_;
  surroundings around_;
  std::unordered_map<work_id, job> jobs_;
  std::deque<work_id> queue_;
  std::uint64_t next_ticket_ = 1;
};

}  // namespace auburnfold::scenarios

#endif  // TESTS_SCENARIOS_FAKE_ENDPOINT_H_
