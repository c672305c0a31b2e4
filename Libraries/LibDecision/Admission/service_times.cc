#include "LibDecision/Admission/service_times.h"

#include <algorithm>
#include <cmath>

namespace auburnfold {

namespace {

constexpr std::uint32_t kLearningSamples = 16;
constexpr double kSmoothing = 1.0 / 32;
constexpr std::size_t kMostClasses = 256;

}  // namespace

// The expected own time is learned from the first samples only; later it is
// moved by `Rescale` alone, since under load a mean would follow the queue
// inside the endpoint.
void service_times::OnOwn(const class_name& request_class, duration own_time) {
  class_times& times = TimesOf(request_class);
  if (times.own_samples >= kLearningSamples) {
    return;
  }
  ++times.own_samples;
  times.own_ns += (static_cast<double>(own_time.count()) - times.own_ns) /
                  times.own_samples;
}

void service_times::OnWhole(const class_name& request_class,
                            duration whole_time) {
  class_times& times = TimesOf(request_class);
  const auto whole = static_cast<double>(whole_time.count());
  if (times.whole_samples < kLearningSamples) {
    ++times.whole_samples;
    times.whole_ns += (whole - times.whole_ns) / times.whole_samples;
    return;
  }
  times.whole_deviation_ns += kSmoothing * (std::abs(whole - times.whole_ns) -
                                            times.whole_deviation_ns);
  times.whole_ns += kSmoothing * (whole - times.whole_ns);
}

service_times::class_times& service_times::TimesOf(
    const class_name& request_class) {
  if (classes_.size() >= kMostClasses && !classes_.contains(request_class)) {
    classes_.clear();
  }
  return classes_[request_class];
}

void service_times::Rescale(double factor) {
  if (factor == 1) {
    return;
  }
  for (auto& [name, times] : classes_) {
    times.own_ns *= factor;
  }
}

duration service_times::ExpectedOwn(const class_name& request_class) const {
  const auto found = classes_.find(request_class);
  if (found == classes_.end() || found->second.own_samples < kLearningSamples) {
    return duration::zero();
  }
  return duration(static_cast<duration::rep>(found->second.own_ns));
}

duration service_times::ShortestWhole(const class_name& request_class) const {
  const auto found = classes_.find(request_class);
  if (found == classes_.end() ||
      found->second.whole_samples < kLearningSamples) {
    return duration::zero();
  }
  const class_times& times = found->second;
  const double shortest = times.whole_ns - 2 * times.whole_deviation_ns;
  return duration(static_cast<duration::rep>(std::max(0.0, shortest)));
}

}  // namespace auburnfold
