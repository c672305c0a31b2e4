#include "LibDecision/Admission/adaptive_limit.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr double kInitialLimit = 8;
constexpr double kMinLimit = 2;
constexpr double kMaxLimit = 4096;
constexpr double kMaxTotalLimit = 65536;
constexpr duration kMinWindow = std::chrono::milliseconds(20);
constexpr duration kMaxWindow = std::chrono::milliseconds(250);
constexpr std::uint32_t kMinSamples = 16;
constexpr std::uint32_t kSteadyStateSamples = 64;
/// Ratio of self time to expected self time above which requests are assumed to
/// wait for a slot inside the endpoint.
constexpr double kInflationThreshold = 1.25;
constexpr double kSlowStartInflationThreshold = 1.6;
/// A cut keeps this factor above the number of slots that the inflation
/// implies.
constexpr double kHeadroom = 1.1;
constexpr double kSmoothing = 0.5;
constexpr double kMinCutFactor = 0.6;
constexpr double kMaxCutFactor = 0.95;
constexpr double kGrowthFactor = 1.06;
constexpr double kTotalGrowthFactor = 1.5;
/// Applied after the endpoint itself refused requests.
constexpr double kRefusalCutFactor = 0.9;
constexpr double kProbeLimitFraction = 0.65;
/// Number of windows with the limit reached between two probes.
constexpr std::uint32_t kWindowsPerProbe = 60;

}  // namespace

adaptive_limit::adaptive_limit()
    : limit_(kInitialLimit), total_limit_(kMaxTotalLimit) {}

double adaptive_limit::window::Inflation() const {
  if (expected_time == duration::zero()) {
    return 1;
  }
  return static_cast<double>(self_time.count()) /
         static_cast<double>(expected_time.count());
}

void adaptive_limit::OnLimitReached(endpoint_occupancy occupancy) {
  if (occupancy.active >= limit()) {
    window_.reached_limit = true;
  } else {
    window_.reached_total_limit = true;
  }
}

double adaptive_limit::OnSample(instant now, const limit_sample& sample) {
  if (sample.started < limits_changed_at_) {
    return 1;
  }
  if (window_.samples + window_.refusals == 0) {
    window_.start = now;
  }
  window_.peak.active = std::max(window_.peak.active, sample.occupancy.active);
  window_.peak.total = std::max(window_.peak.total, sample.occupancy.total);
  if (sample.is_refused) {
    ++window_.refusals;
  } else {
    ++window_.samples;
    window_.self_time += sample.self_time;
    window_.expected_time += sample.expected_time == duration::zero()
                                 ? sample.self_time
                                 : sample.expected_time;
  }
  return WindowIsFull(now) ? CloseWindow(now) : 1;
}

bool adaptive_limit::WindowIsFull(instant now) const {
  const duration elapsed = now - window_.start;
  if (elapsed < kMinWindow) {
    return false;
  }
  const std::uint32_t wanted = phase_ == phase::kSlowStart
                                   ? std::max(kMinSamples, limit())
                                   : std::max(kSteadyStateSamples, limit());
  const std::uint32_t samples = window_.samples + window_.refusals;
  return samples >= wanted || (elapsed >= kMaxWindow && samples >= kMinSamples);
}

double adaptive_limit::CloseWindow(instant now) {
  const double previous_limit = limit_;
  const double previous_total_limit = total_limit_;
  double rescale = 1;
  if (window_.refusals * 10 > window_.samples) {
    // The endpoint itself reported that its slots are full.
    phase_ = phase::kSteady;
    const double in_use = std::min<double>(limit_, window_.peak.active);
    limit_ = std::max(kMinLimit, in_use * kRefusalCutFactor);
  } else {
    rescale = Adapt(window_.Inflation());
  }
  if (limit_ != previous_limit || total_limit_ != previous_total_limit) {
    limits_changed_at_ = now;
  }
  window_ = {};
  return rescale;
}

double adaptive_limit::Adapt(double inflation) {
  switch (phase_) {
    case phase::kVerifyCut:
      return VerifyCut(inflation);
    case phase::kVerifyTotalCut:
      return VerifyTotalCut(inflation);
    case phase::kProbe:
      phase_ = phase::kSteady;
      limit_ = saved_limit_;
      return std::min(1.0, inflation);
    case phase::kSlowStart:
      if (inflation > kSlowStartInflationThreshold) {
        Cut(inflation);
      } else if (window_.reached_limit) {
        limit_ = std::min(limit_ * 2, kMaxLimit);
      }
      return 1;
    case phase::kSteady:
      break;
  }
  return AdaptInSteadyState(inflation);
}

double adaptive_limit::AdaptInSteadyState(double inflation) {
  if (inflation > kInflationThreshold) {
    Cut(inflation);
    return 1;
  }
  if (!window_.reached_limit && !window_.reached_total_limit) {
    return std::min(1.0, 1 + (inflation - 1) * kSmoothing);
  }
  if (++windows_since_probe_ >= kWindowsPerProbe) {
    windows_since_probe_ = 0;
    saved_limit_ = limit_;
    phase_ = phase::kProbe;
    limit_ = std::max(kMinLimit, limit_ * kProbeLimitFraction);
    return 1;
  }
  Grow();
  return 1;
}

void adaptive_limit::Grow() {
  if (window_.reached_limit) {
    limit_ = std::min(limit_ * kGrowthFactor + 0.25, kMaxLimit);
  }
  if (window_.reached_total_limit) {
    total_limit_ = std::min(total_limit_ * kTotalGrowthFactor, kMaxTotalLimit);
  }
}

// A lower limit on active requests shortens the self time only if requests were
// waiting for a slot. If it does not, requests that wait for child calls may
// hold the slots, so the total is cut instead.
double adaptive_limit::VerifyCut(double inflation) {
  phase_ = phase::kSteady;
  if (HasCutHelped(inflation)) {
    if (inflation > kInflationThreshold) {
      Cut(inflation);
    }
    return 1;
  }
  limit_ = saved_limit_;
  CutTotal(inflation);
  return 1;
}

// If neither cut helped, processing itself has become slower: the expected time
// is corrected and the cuts are reverted.
double adaptive_limit::VerifyTotalCut(double inflation) {
  phase_ = phase::kSteady;
  if (HasCutHelped(inflation)) {
    if (inflation > kInflationThreshold) {
      CutTotal(inflation);
    }
    return 1;
  }
  total_limit_ = saved_total_limit_;
  return std::max(1.0, inflation);
}

bool adaptive_limit::HasCutHelped(double inflation) const {
  return inflation <= inflation_before_cut_ * (1 - (1 - cut_factor_) / 2);
}

void adaptive_limit::Cut(double inflation) {
  const double in_use =
      std::min<double>(limit_, std::max(window_.peak.active, 1U));
  saved_limit_ = limit_;
  inflation_before_cut_ = inflation;
  cut_factor_ = std::clamp(kHeadroom / inflation, kMinCutFactor, kMaxCutFactor);
  limit_ = std::max(kMinLimit, in_use * cut_factor_);
  phase_ = phase::kVerifyCut;
}

void adaptive_limit::CutTotal(double inflation) {
  const double in_use =
      std::min<double>(total_limit_, std::max(window_.peak.total, 1U));
  saved_total_limit_ = total_limit_;
  inflation_before_cut_ = inflation;
  cut_factor_ = std::clamp(kHeadroom / inflation, kMinCutFactor, kMaxCutFactor);
  total_limit_ = std::max(kMinLimit, in_use * cut_factor_);
  phase_ = phase::kVerifyTotalCut;
}

}  // namespace auburnfold
