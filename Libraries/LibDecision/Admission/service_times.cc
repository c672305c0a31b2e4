#include "LibDecision/Admission/service_times.h"

#include <algorithm>
#include <cmath>

namespace auburnfold {

namespace {

constexpr std::uint32_t kInitialSamples = 16;
constexpr double kSmoothing = 1.0 / 32;
constexpr std::size_t kMaxClasses = 256;

}  // namespace

// The expected self time is learned from the first samples only. After that
// only `Rescale` changes it, since under load a mean would include the wait in
// the endpoint's queue.
void service_times::OnSelfTime(const class_name& request_class,
                               duration self_time) {
  class_times& times = FindOrCreateTimes(request_class);
  if (times.self_samples >= kInitialSamples) {
    return;
  }
  ++times.self_samples;
  times.self_ns += (static_cast<double>(self_time.count()) - times.self_ns) /
                   times.self_samples;
}

void service_times::OnTotalTime(const class_name& request_class,
                                duration total_time) {
  class_times& times = FindOrCreateTimes(request_class);
  const auto total = static_cast<double>(total_time.count());
  if (times.total_samples < kInitialSamples) {
    ++times.total_samples;
    times.total_ns += (total - times.total_ns) / times.total_samples;
    return;
  }
  times.total_deviation_ns += kSmoothing * (std::abs(total - times.total_ns) -
                                            times.total_deviation_ns);
  times.total_ns += kSmoothing * (total - times.total_ns);
}

service_times::class_times& service_times::FindOrCreateTimes(
    const class_name& request_class) {
  if (classes_.size() >= kMaxClasses && !classes_.contains(request_class)) {
    classes_.clear();
  }
  return classes_[request_class];
}

void service_times::Rescale(double factor) {
  if (factor == 1) {
    return;
  }
  for (auto& [name, times] : classes_) {
    times.self_ns *= factor;
  }
}

duration service_times::ExpectedSelfTime(
    const class_name& request_class) const {
  const auto found = classes_.find(request_class);
  if (found == classes_.end() || found->second.self_samples < kInitialSamples) {
    return duration::zero();
  }
  return duration(static_cast<duration::rep>(found->second.self_ns));
}

duration service_times::MinTotalTime(const class_name& request_class) const {
  return TotalTime(request_class, -2);
}

duration service_times::ExpectedTotalTime(
    const class_name& request_class) const {
  return TotalTime(request_class, 0);
}

duration service_times::MaxTotalTime(const class_name& request_class) const {
  return TotalTime(request_class, 4);
}

duration service_times::TotalTime(const class_name& request_class,
                                  double deviations) const {
  const auto found = classes_.find(request_class);
  if (found == classes_.end() ||
      found->second.total_samples < kInitialSamples) {
    return duration::zero();
  }
  const class_times& times = found->second;
  const double total = times.total_ns + deviations * times.total_deviation_ns;
  return duration(static_cast<duration::rep>(std::max(0.0, total)));
}

}  // namespace auburnfold
