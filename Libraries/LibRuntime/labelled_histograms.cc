#include "LibRuntime/labelled_histograms.h"

#include <prometheus/histogram.h>

#include <utility>

namespace auburnfold {

namespace {

constexpr const char* kOther = "other";

const prometheus::Histogram::BucketBoundaries& BoundariesS() {
  static const prometheus::Histogram::BucketBoundaries kBoundariesS{
      0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,    0.2,    0.5,   1,     2,     5,    10};
  return kBoundariesS;
}

}  // namespace

labelled_histograms::labelled_histograms(prometheus::Registry& registry,
                                         const std::string& name,
                                         const std::string& help,
                                         std::string label,
                                         std::size_t limit)
    : family_(prometheus::BuildHistogram().Name(name).Help(help).Register(
          registry)),
      label_(std::move(label)),
      limit_(limit) {}

void labelled_histograms::Observe(const std::string& label_value,
                                  std::chrono::steady_clock::duration took) {
  For(label_value).Observe(std::chrono::duration<double>(took).count());
}

prometheus::Histogram& labelled_histograms::For(
    const std::string& label_value) {
  const auto found = known_.find(label_value);
  if (found != known_.end()) {
    return *found->second;
  }
  if (known_.size() >= limit_ && label_value != kOther) {
    return For(kOther);
  }
  prometheus::Histogram& made =
      family_.Add({{label_, label_value}}, BoundariesS());
  known_.emplace(label_value, &made);
  return made;
}

}  // namespace auburnfold
