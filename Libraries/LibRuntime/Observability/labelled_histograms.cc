#include "LibRuntime/Observability/labelled_histograms.h"

#include <prometheus/histogram.h>

#include <utility>

namespace auburnfold {

namespace {

constexpr const char* kOverflowLabelValue = "other";

}  // namespace

const std::vector<double>& BucketBoundariesInSeconds() {
  static const std::vector<double> kBoundariesInSeconds{
      0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,    0.2,    0.5,   1,     2,     5,    10};
  return kBoundariesInSeconds;
}

labelled_histograms::labelled_histograms(prometheus::Registry& registry,
                                         const std::string& name,
                                         const std::string& help,
                                         std::string label,
                                         std::size_t max_values)
    : family_(prometheus::BuildHistogram().Name(name).Help(help).Register(
          registry)),
      label_(std::move(label)),
      max_values_(max_values) {}

void labelled_histograms::Observe(const std::string& label_value,
                                  std::chrono::steady_clock::duration elapsed) {
  FindOrCreate(label_value)
      .Observe(std::chrono::duration<double>(elapsed).count());
}

prometheus::Histogram& labelled_histograms::FindOrCreate(
    const std::string& label_value) {
  const auto found = histograms_.find(label_value);
  if (found != histograms_.end()) {
    return *found->second;
  }
  if (histograms_.size() >= max_values_ && label_value != kOverflowLabelValue) {
    return FindOrCreate(kOverflowLabelValue);
  }
  prometheus::Histogram& created =
      family_.Add({{label_, label_value}}, BucketBoundariesInSeconds());
  histograms_.emplace(label_value, &created);
  return created;
}

}  // namespace auburnfold
