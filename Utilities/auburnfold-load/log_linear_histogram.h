#ifndef AUBURNFOLD_LOAD_LOG_LINEAR_HISTOGRAM_H_
#define AUBURNFOLD_LOAD_LOG_LINEAR_HISTOGRAM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace auburnfold {

/// Counts times in buckets whose width grows with the value, so that a
/// quantile is at most 1/64 above the true one. Times are whole microseconds.
class log_linear_histogram {
 public:
  void Add(std::chrono::microseconds value);
  void Merge(const log_linear_histogram& other);

  /// The upper end of the bucket that holds `share` of the values; zero if
  /// there are none. `share` is in [0, 1].
  std::chrono::microseconds Quantile(double share) const;
  std::uint64_t count() const { return count_; }

 private:
  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
};

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_LOG_LINEAR_HISTOGRAM_H_
