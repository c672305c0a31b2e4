#ifndef LIBRUNTIME_OBSERVABILITY_LABELLED_HISTOGRAMS_H_
#define LIBRUNTIME_OBSERVABILITY_LABELLED_HISTOGRAMS_H_

#include <prometheus/registry.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace auburnfold {

/// Upper bounds of the buckets of every histogram of times, in seconds.
const std::vector<double>& BucketBoundariesInSeconds();

/// Histograms of durations in seconds, one for each value of a label. Values
/// beyond the first `max_values` share the label value `other`.
class labelled_histograms {
 public:
  labelled_histograms(prometheus::Registry& registry,
                      const std::string& name,
                      const std::string& help,
                      std::string label,
                      std::size_t max_values);

  void Observe(const std::string& label_value,
               std::chrono::steady_clock::duration elapsed);

 private:
  prometheus::Histogram& FindOrCreate(const std::string& label_value);

  prometheus::Family<prometheus::Histogram>& family_;
  std::string label_;
  std::size_t max_values_;
  std::unordered_map<std::string, prometheus::Histogram*> histograms_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_OBSERVABILITY_LABELLED_HISTOGRAMS_H_
