#include "LibDecision/Admission/capacity_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace auburnfold {

namespace {

constexpr std::uint32_t kInitialSamples = 16;
constexpr std::size_t kMaxClasses = 256;
/// Weight of the newest sample in the recent slowness.
constexpr double kSlownessSmoothing = 1.0 / 24;
/// One long request counts at most as this many times the recent slowness.
constexpr double kMaxSampleFactor = 4;
/// The usual time of a class follows slowly, since a slow period is not usual,
/// but fast if the endpoint is clearly faster, as after a cold start.
constexpr double kSlowSmoothing = 1.0 / 256;
constexpr double kFastSmoothing = 1.0 / 32;
constexpr double kNotableSpeedup = 0.8;
/// A request counts as uncrowded below this fraction of the limit.
constexpr double kUncrowdedFraction = 0.7;
/// A measurement needs an endpoint that is full, or nearly so.
constexpr double kFullFraction = 0.85;
/// From this slowness on, a lower limit may be as good.
constexpr double kNotableSlowness = 1.3;
/// A limit below this fraction of the maximum is not tried.
constexpr double kMinLimitFraction = 0.3;
/// The next limit to try upwards, in proportion.
constexpr double kRaiseFactor = 1.15;
/// A lower limit is kept if at least this fraction of the work is done.
constexpr double kKeptRateFraction = 0.95;
/// A measurement ends after this many samples for each request of the limit.
constexpr std::uint32_t kSamplesPerSlot = 5;
constexpr std::uint32_t kMinSamples = 64;
constexpr duration kMaxMeasurement = std::chrono::seconds(3);
constexpr duration kBaseTrialInterval = std::chrono::seconds(1);
constexpr std::uint32_t kMaxIntervalDoublings = 4;

}  // namespace

// By Little's law.
double capacity_estimator::measurement::Rate(std::uint32_t limit) const {
  return self_ns > 0 ? limit * usual_ns / self_ns : 0;
}

void capacity_estimator::SetMaxLimit(std::uint32_t limit) {
  if (limit == max_limit_) {
    return;
  }
  max_limit_ = limit;
  limit_ = limit;
  phase_ = phase::kBefore;
  vain_trials_ = 0;
  measured_ = {};
}

double capacity_estimator::slowness() const {
  return recent_usual_ns_ > 0 ? recent_self_ns_ / recent_usual_ns_ : 1;
}

std::uint32_t capacity_estimator::capacity() const {
  if (limit_ == 0) {
    return 0;
  }
  const double usable = limit_ / std::max(1.0, slowness());
  return std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(std::lround(usable)));
}

void capacity_estimator::OnSample(instant now,
                                  const class_name& request_class,
                                  std::uint32_t in_use,
                                  std::uint32_t in_use_now,
                                  duration self_time) {
  const auto self_ns = static_cast<double>(self_time.count());
  const double usual_ns = UsualTime(request_class, in_use, self_ns);
  const double counted_ns =
      std::min(self_ns, usual_ns * slowness() * kMaxSampleFactor);
  if (recent_usual_ns_ == 0) {
    recent_self_ns_ = recent_usual_ns_ = usual_ns;
  }
  recent_self_ns_ += kSlownessSmoothing * (counted_ns - recent_self_ns_);
  recent_usual_ns_ += kSlownessSmoothing * (usual_ns - recent_usual_ns_);
  if (limit_ > 0) {
    Measure(now, in_use_now, counted_ns, usual_ns);
  }
}

double capacity_estimator::UsualTime(const class_name& request_class,
                                     std::uint32_t in_use,
                                     double self_ns) {
  if (baselines_.size() >= kMaxClasses && !baselines_.contains(request_class)) {
    baselines_.clear();
  }
  class_baseline& usual = baselines_[request_class];
  const bool is_uncrowded = limit_ == 0 || in_use < limit_ * kUncrowdedFraction;
  const bool is_faster = slowness() < kNotableSpeedup;
  if (usual.samples < kInitialSamples) {
    ++usual.samples;
    usual.self_ns += (self_ns - usual.self_ns) / usual.samples;
  } else if (is_uncrowded || is_faster) {
    const double smoothing = is_faster ? kFastSmoothing : kSlowSmoothing;
    const double counted_ns =
        std::min(self_ns, usual.self_ns * slowness() * kMaxSampleFactor);
    usual.self_ns += smoothing * (counted_ns - usual.self_ns);
  }
  return std::max(usual.self_ns, 1.0);
}

void capacity_estimator::Measure(instant now,
                                 std::uint32_t in_use_now,
                                 double self_ns,
                                 double usual_ns) {
  if (in_use_now < limit() * kFullFraction) {
    measured_ = {};
    phase_ = phase::kBefore;
    return;
  }
  // After a change of the limit, the endpoint has to fill up or drain first.
  const bool is_draining = in_use_now > limit();
  if (!measured_.since || is_draining) {
    measured_ = {.since = now};
    return;
  }
  const instant started = now - duration(static_cast<duration::rep>(self_ns));
  if (started >= *measured_.since) {
    ++measured_.samples;
    measured_.self_ns += self_ns;
    measured_.usual_ns += usual_ns;
  }
  if (measured_.samples >= std::max(kMinSamples, limit() * kSamplesPerSlot)) {
    Conclude(now);
  } else if (now - *measured_.since >= kMaxMeasurement) {
    measured_ = {};
    phase_ = phase::kBefore;
  }
}

void capacity_estimator::Conclude(instant now) {
  const double rate = measured_.Rate(limit());
  measured_ = {};
  switch (phase_) {
    case phase::kBefore:
      trial_ = now >= no_trial_until_ ? NextTrial() : 0;
      rate_before_ = rate;
      phase_ = trial_ > 0 ? phase::kTrial : phase::kBefore;
      break;
    case phase::kTrial:
      rate_on_trial_ = rate;
      phase_ = phase::kAfter;
      break;
    case phase::kAfter:
      Decide(now, rate);
      phase_ = phase::kBefore;
      break;
  }
}

// An endpoint that is slower by a factor only since it is too full does as much
// work with a limit lower by that factor.
std::uint32_t capacity_estimator::NextTrial() const {
  const double min_limit = std::max(1.0, max_limit_ * kMinLimitFraction);
  if (slowness() >= kNotableSlowness && limit_ > min_limit) {
    return static_cast<std::uint32_t>(
        std::max(min_limit, std::floor(limit_ / slowness())));
  }
  if (limit_ < max_limit_) {
    const auto raised =
        static_cast<std::uint32_t>(std::ceil(limit_ * kRaiseFactor));
    return std::min(max_limit_, raised);
  }
  return 0;
}

void capacity_estimator::Decide(instant now, double rate) {
  const double usual = (rate_before_ + rate) / 2;
  const bool is_kept = trial_ < limit_
                           ? rate_on_trial_ >= usual * kKeptRateFraction
                           : rate_on_trial_ * kKeptRateFraction > usual;
  if (is_kept) {
    limit_ = trial_;
    vain_trials_ = 0;
    return;
  }
  no_trial_until_ =
      now + kBaseTrialInterval *
                (1U << std::min(vain_trials_, kMaxIntervalDoublings));
  ++vain_trials_;
}

}  // namespace auburnfold
