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
void service_times::OnFinished(const class_name& request_class,
                               duration own_time,
                               duration whole_time) {
  if (classes_.size() >= kMostClasses && !classes_.contains(request_class)) {
    classes_.clear();
  }
  class_times& times = classes_[request_class];
  const auto whole = static_cast<double>(whole_time.count());
  if (times.samples < kLearningSamples) {
    ++times.samples;
    times.own_ns +=
        (static_cast<double>(own_time.count()) - times.own_ns) / times.samples;
    times.whole_ns += (whole - times.whole_ns) / times.samples;
    return;
  }
  times.whole_deviation_ns += kSmoothing * (std::abs(whole - times.whole_ns) -
                                            times.whole_deviation_ns);
  times.whole_ns += kSmoothing * (whole - times.whole_ns);
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
  if (found == classes_.end() || found->second.samples < kLearningSamples) {
    return duration::zero();
  }
  return duration(static_cast<duration::rep>(found->second.own_ns));
}

duration service_times::ShortestWhole(const class_name& request_class) const {
  const auto found = classes_.find(request_class);
  if (found == classes_.end() || found->second.samples < kLearningSamples) {
    return duration::zero();
  }
  const class_times& times = found->second;
  const double shortest = times.whole_ns - 2 * times.whole_deviation_ns;
  return duration(static_cast<duration::rep>(std::max(0.0, shortest)));
}

}  // namespace auburnfold
