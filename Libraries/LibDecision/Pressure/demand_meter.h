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

/// Compares what callers ask of the own endpoint with what it finishes, and
/// sets the admission level of each class so that about as much is let
/// through. Capacity goes to the higher priorities first and by weight among
/// classes of one priority.
class demand_meter {
 public:
  /// A request of `of` arrived, whether it will run or not.
  void OnOffered(instant now,
                 const class_name& request_class,
                 std::uint32_t weight,
                 rank of);
  /// The endpoint finished a request.
  void OnFinished(instant now);
  /// Requests wait (or no longer wait) for the endpoint.
  void OnWaiting(instant now, bool is_waiting);

  /// Admission level for the class; 0 admits all.
  std::uint16_t LevelFor(const class_name& request_class) const;
  /// Share of the offered requests that the endpoint can serve, up to 1.
  double served_share() const { return served_share_; }

 private:
  static constexpr std::size_t kPriorities = kHighestPriority + 1;

  struct class_demand {
    std::uint32_t weight = 100;
    std::uint16_t level = 0;
    /// Requests in the window under way that pass `level`.
    std::array<std::uint32_t, kPriorities> seen{};
    /// Requests per second that would arrive if no caller refused early.
    std::array<double, kPriorities> rate{};
  };

  class_demand& DemandOf(const class_name& request_class);
  void RollTo(instant now);
  void CloseWindow(duration length);
  void MeasureCapacity(double seconds, double waiting_share);
  double TotalRate() const;
  void SetLevels();
  void SetMarginalLevels(std::size_t priority, double capacity);

  std::unordered_map<class_name, std::size_t> index_;
  std::vector<class_demand> classes_;
  instant window_start_{};
  std::uint32_t finished_ = 0;
  bool is_waiting_ = false;
  instant waiting_since_{};
  duration waited_{};
  /// Requests per second that the endpoint can finish; 0 while unknown.
  double capacity_ = 0;
  double served_share_ = 1;
};

}  // namespace auburnfold

#endif  // LIBDECISION_PRESSURE_DEMAND_METER_H_
