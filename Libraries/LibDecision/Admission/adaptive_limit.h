#ifndef LIBDECISION_ADMISSION_ADAPTIVE_LIMIT_H_
#define LIBDECISION_ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "LibDecision/Admission/limit_policy.h"

namespace auburnfold {

/// Estimates how many requests keep the endpoint's slots busy. It compares the
/// self time of requests (up to their first child call) with their self time
/// while slots are free, so a slow dependency does not lower the limit.
///
/// Limits active requests, and also all requests, since an endpoint may hold a
/// slot while a request waits for child calls.
class adaptive_limit {
 public:
  adaptive_limit();

  bool HasCapacity(endpoint_occupancy occupancy) const {
    return occupancy.active < limit() && occupancy.total < total_limit();
  }
  std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }
  std::uint32_t total_limit() const {
    return static_cast<std::uint32_t>(total_limit_);
  }
  bool has_queue() const { return true; }
  bool allows_priority_excess() const { return true; }
  double OnSample(instant now, const limit_sample& sample);
  void OnLimitReached(endpoint_occupancy occupancy);

 private:
  enum class phase : std::uint8_t {
    kSlowStart,  ///< Doubles until requests wait for a slot.
    kSteady,     ///< Grows while the limit is reached; cuts when requests wait.
    kVerifyCut,  ///< Checks whether a lower `limit` shortened the self time.
    kVerifyTotalCut,  ///< The same for a lower `total_limit`.
    kProbe,           ///< Runs below the limit to update the expected time.
  };
  /// Samples collected since the window began.
  struct window {
    instant start{};
    std::uint32_t samples = 0;
    std::uint32_t refusals = 0;
    endpoint_occupancy peak;
    duration self_time{};
    duration expected_time{};
    bool reached_limit = false;
    bool reached_total_limit = false;

    /// Ratio of self time to expected self time; 1 without samples.
    double Inflation() const;
  };

  bool WindowIsFull(instant now) const;
  double CloseWindow(instant now);
  double Adapt(double inflation);
  double AdaptInSteadyState(double inflation);
  double VerifyCut(double inflation);
  double VerifyTotalCut(double inflation);
  bool HasCutHelped(double inflation) const;
  void Cut(double inflation);
  void CutTotal(double inflation);
  void Grow();

  double limit_;
  double total_limit_;
  phase phase_ = phase::kSlowStart;
  /// Values from before the cut or probe in progress.
  double saved_limit_ = 0;
  double saved_total_limit_ = 0;
  double inflation_before_cut_ = 0;
  double cut_factor_ = 1;
  std::uint32_t windows_since_probe_ = 0;
  window window_;
  /// Samples of requests started before this instant are ignored, since they
  /// started under other limits.
  instant limits_changed_at_{};
};
static_assert(limit_policy<adaptive_limit>);

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_ADAPTIVE_LIMIT_H_
