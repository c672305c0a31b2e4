#ifndef LIBDECISION_PRESSURE_DEMAND_METER_H_
#define LIBDECISION_PRESSURE_DEMAND_METER_H_

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Compares the request rate that callers offer to the local endpoint with the
/// rate it completes, and sets the admission level of each class so that
/// slightly more than the completed rate is admitted. Capacity goes to higher
/// priorities first, and by weight to classes of the same priority.
class demand_meter {
 public:
  /// A request arrived, whether it is admitted or not.
  void OnOffered(instant now,
                 const class_name& request_class,
                 std::uint32_t weight,
                 rank request_rank);
  /// The endpoint finished a request.
  void OnFinished(instant now);
  /// Requests began or ceased to wait in the queue.
  void OnQueueChanged(instant now, bool has_queue);

  /// Admission level of the class; 0 admits all requests.
  std::uint16_t LevelFor(const class_name& request_class) const;
  /// Fraction of the offered requests that the endpoint can serve, at most 1.
  double served_fraction() const { return served_fraction_; }

 private:
  static constexpr std::size_t kPriorities = kHighestPriority + 1;

  struct class_demand {
    std::uint32_t weight = 100;
    std::uint16_t level = 0;
    /// Requests of the current window that pass `level`.
    std::array<std::uint32_t, kPriorities> arrivals{};
    /// Requests per second that would arrive if callers refused none early.
    std::array<double, kPriorities> rate{};
  };

  class_demand& FindOrCreateDemand(const class_name& request_class);
  void AdvanceTo(instant now);
  void CloseWindow(duration length);
  void UpdateCapacity(double seconds, double queued_fraction);
  double TotalRate() const;
  void UpdateLevels();
  void SetMarginalLevels(std::size_t priority, double capacity);

  std::unordered_map<class_name, std::size_t> index_;
  std::vector<class_demand> classes_;
  instant window_start_{};
  std::uint32_t completions_ = 0;
  bool has_queue_ = false;
  instant queued_since_{};
  duration queued_time_{};
  /// Requests per second that the endpoint can finish; 0 while unknown.
  double capacity_ = 0;
  double served_fraction_ = 1;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PRESSURE_DEMAND_METER_H_
