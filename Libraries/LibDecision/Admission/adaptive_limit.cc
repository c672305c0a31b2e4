#include "LibDecision/Admission/adaptive_limit.h"

#include <algorithm>
#include <chrono>

namespace auburnfold {

namespace {

constexpr double kFirstLimit = 8;
constexpr double kLowestLimit = 2;
constexpr double kHighestLimit = 4096;
constexpr double kHighestTotal = 65536;
constexpr duration kShortestWindow = std::chrono::milliseconds(20);
constexpr duration kLongestWindow = std::chrono::milliseconds(250);
constexpr std::uint32_t kFewestSamples = 16;
constexpr std::uint32_t kSteadySamples = 64;
/// Own time over expected time from which requests wait in the endpoint.
constexpr double kTolerance = 1.25;
constexpr double kSlowStartTolerance = 1.6;
/// A cut leaves this much over the slots that it deduces.
constexpr double kHeadroom = 1.1;
constexpr double kSmoothing = 0.5;
constexpr double kDeepestCut = 0.6;
constexpr double kShallowestCut = 0.95;
constexpr double kGrowth = 1.06;
constexpr double kTotalGrowth = 1.5;
/// After the endpoint itself refused.
constexpr double kRefusedCut = 0.9;
constexpr double kProbeLimitShare = 0.65;
constexpr std::uint32_t kWindowsPerProbe = 60;

}  // namespace

adaptive_limit::adaptive_limit()
    : limit_(kFirstLimit), total_limit_(kHighestTotal) {}

double adaptive_limit::window::Inflation() const {
  if (expected_time == duration::zero()) {
    return 1;
  }
  return static_cast<double>(own_time.count()) /
         static_cast<double>(expected_time.count());
}

void adaptive_limit::OnLimited(endpoint_occupancy occupancy) {
  if (occupancy.active >= limit()) {
    seen_.is_limited = true;
  } else {
    seen_.is_total_limited = true;
  }
}

double adaptive_limit::OnSample(instant now, const limit_sample& sample) {
  if (sample.started < changed_at_) {
    return 1;
  }
  if (seen_.samples + seen_.refusals == 0) {
    seen_.start = now;
  }
  seen_.peak.active = std::max(seen_.peak.active, sample.occupancy.active);
  seen_.peak.total = std::max(seen_.peak.total, sample.occupancy.total);
  if (sample.is_refused) {
    ++seen_.refusals;
  } else {
    ++seen_.samples;
    seen_.own_time += sample.own_time;
    seen_.expected_time += sample.expected_time == duration::zero()
                               ? sample.own_time
                               : sample.expected_time;
  }
  return WindowIsFull(now) ? CloseWindow(now) : 1;
}

bool adaptive_limit::WindowIsFull(instant now) const {
  const duration elapsed = now - seen_.start;
  if (elapsed < kShortestWindow) {
    return false;
  }
  const std::uint32_t wanted = phase_ == phase::kSlowStart
                                   ? std::max(kFewestSamples, limit())
                                   : std::max(kSteadySamples, limit());
  const std::uint32_t samples = seen_.samples + seen_.refusals;
  return samples >= wanted ||
         (elapsed >= kLongestWindow && samples >= kFewestSamples);
}

double adaptive_limit::CloseWindow(instant now) {
  const double limit_before = limit_;
  const double total_before = total_limit_;
  double rescale = 1;
  if (seen_.refusals * 10 > seen_.samples) {
    // The endpoint said itself that its slots are full.
    phase_ = phase::kSteady;
    const double in_use = std::min<double>(limit_, seen_.peak.active);
    limit_ = std::max(kLowestLimit, in_use * kRefusedCut);
  } else {
    rescale = Adapt(seen_.Inflation());
  }
  if (limit_ != limit_before || total_limit_ != total_before) {
    changed_at_ = now;
  }
  seen_ = {};
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
      limit_ = limit_before_;
      return std::min(1.0, inflation);
    case phase::kSlowStart:
      if (inflation > kSlowStartTolerance) {
        Cut(inflation);
      } else if (seen_.is_limited) {
        limit_ = std::min(limit_ * 2, kHighestLimit);
      }
      return 1;
    case phase::kSteady:
      break;
  }
  return AdaptSteadily(inflation);
}

double adaptive_limit::AdaptSteadily(double inflation) {
  if (inflation > kTolerance) {
    Cut(inflation);
    return 1;
  }
  if (!seen_.is_limited && !seen_.is_total_limited) {
    return std::min(1.0, 1 + (inflation - 1) * kSmoothing);
  }
  if (++windows_since_probe_ >= kWindowsPerProbe) {
    windows_since_probe_ = 0;
    limit_before_ = limit_;
    phase_ = phase::kProbe;
    limit_ = std::max(kLowestLimit, limit_ * kProbeLimitShare);
    return 1;
  }
  Grow();
  return 1;
}

void adaptive_limit::Grow() {
  if (seen_.is_limited) {
    limit_ = std::min(limit_ * kGrowth + 0.25, kHighestLimit);
  }
  if (seen_.is_total_limited) {
    total_limit_ = std::min(total_limit_ * kTotalGrowth, kHighestTotal);
  }
}

// Fewer active requests shorten the own time only if requests were waiting
// for a slot. If not, those that wait for deeper calls may hold the slots.
double adaptive_limit::VerifyCut(double inflation) {
  phase_ = phase::kSteady;
  if (HasCutHelped(inflation)) {
    if (inflation > kTolerance) {
      Cut(inflation);
    }
    return 1;
  }
  limit_ = limit_before_;
  CutTotal(inflation);
  return 1;
}

// If neither cut helped, the work itself has become slower: the expected time
// is corrected and the cuts are taken back.
double adaptive_limit::VerifyTotalCut(double inflation) {
  phase_ = phase::kSteady;
  if (HasCutHelped(inflation)) {
    if (inflation > kTolerance) {
      CutTotal(inflation);
    }
    return 1;
  }
  total_limit_ = total_before_;
  return std::max(1.0, inflation);
}

bool adaptive_limit::HasCutHelped(double inflation) const {
  return inflation <= inflation_before_ * (1 - (1 - cut_) / 2);
}

void adaptive_limit::Cut(double inflation) {
  const double in_use =
      std::min<double>(limit_, std::max(seen_.peak.active, 1U));
  limit_before_ = limit_;
  inflation_before_ = inflation;
  cut_ = std::clamp(kHeadroom / inflation, kDeepestCut, kShallowestCut);
  limit_ = std::max(kLowestLimit, in_use * cut_);
  phase_ = phase::kVerifyCut;
}

void adaptive_limit::CutTotal(double inflation) {
  const double in_use =
      std::min<double>(total_limit_, std::max(seen_.peak.total, 1U));
  total_before_ = total_limit_;
  inflation_before_ = inflation;
  cut_ = std::clamp(kHeadroom / inflation, kDeepestCut, kShallowestCut);
  total_limit_ = std::max(kLowestLimit, in_use * cut_);
  phase_ = phase::kVerifyTotalCut;
}

}  // namespace auburnfold
