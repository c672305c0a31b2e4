#ifndef LIBDECISION_ADMISSION_ADAPTIVE_LIMIT_H_
#define LIBDECISION_ADMISSION_ADAPTIVE_LIMIT_H_

#include <cstdint>

#include "LibDecision/Admission/limit_policy.h"

namespace auburnfold {

/// Finds how many requests keep the endpoint's slots full, from how much
/// longer requests take, up to their first deeper call, than with free slots.
/// So a slow deeper service does not lower the limit.
/// Bounds the active requests, and all requests in case those that wait for
/// deeper calls keep their slots.
class adaptive_limit {
 public:
  adaptive_limit();

  bool HasRoom(endpoint_occupancy occupancy) const {
    return occupancy.active < limit() && occupancy.total < total_limit();
  }
  std::uint32_t limit() const { return static_cast<std::uint32_t>(limit_); }
  std::uint32_t total_limit() const {
    return static_cast<std::uint32_t>(total_limit_);
  }
  bool has_queue() const { return true; }
  bool lets_important_over() const { return true; }
  double OnSample(instant now, const limit_sample& sample);
  void OnLimited(endpoint_occupancy occupancy);

 private:
  enum class phase : std::uint8_t {
    kSlowStart,  ///< Doubles until requests wait inside the endpoint.
    kSteady,
    kVerifyCut,       ///< Has a lower `limit` shortened the own time?
    kVerifyTotalCut,  ///< Has a lower `total_limit` shortened the own time?
    kProbe,           ///< Runs below the limit to refresh the expected time.
  };
  /// What was seen since the window began.
  struct window {
    instant start{};
    std::uint32_t samples = 0;
    std::uint32_t refusals = 0;
    endpoint_occupancy peak;
    duration own_time{};
    duration expected_time{};
    bool is_limited = false;
    bool is_total_limited = false;

    double Inflation() const;
  };

  bool WindowIsFull(instant now) const;
  double CloseWindow(instant now);
  double Adapt(double inflation);
  double AdaptSteadily(double inflation);
  double VerifyCut(double inflation);
  double VerifyTotalCut(double inflation);
  bool HasCutHelped(double inflation) const;
  void Cut(double inflation);
  void CutTotal(double inflation);
  void Grow();

  double limit_;
  double total_limit_;
  phase phase_ = phase::kSlowStart;
  /// As they were before the cut or probe under way.
  double limit_before_ = 0;
  double total_before_ = 0;
  double inflation_before_ = 0;
  double cut_ = 1;
  std::uint32_t windows_since_probe_ = 0;
  window seen_;
  /// Requests handed over earlier say nothing about the present limits.
  instant changed_at_{};
};
static_assert(limit_policy<adaptive_limit>);

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_ADAPTIVE_LIMIT_H_
