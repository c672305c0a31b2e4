#include "auburnfold-load/log_linear_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace auburnfold {

namespace {

constexpr unsigned kLinearBits = 6;
constexpr std::uint64_t kLinearBuckets = std::uint64_t{1} << kLinearBits;

// Values below kLinearBuckets have a bucket each; every doubling above has
// kLinearBuckets more.
std::size_t BucketOf(std::uint64_t value) {
  if (value < kLinearBuckets) {
    return value;
  }
  const unsigned shift =
      static_cast<unsigned>(std::bit_width(value)) - kLinearBits - 1;
  return shift * kLinearBuckets + (value >> shift);
}

std::uint64_t UpperEndOf(std::size_t bucket) {
  if (bucket < 2 * kLinearBuckets) {
    return bucket;
  }
  const std::size_t shift = bucket / kLinearBuckets - 1;
  const std::uint64_t leading = bucket - shift * kLinearBuckets;
  return ((leading + 1) << shift) - 1;
}

}  // namespace

void log_linear_histogram::Add(std::chrono::microseconds value) {
  const std::size_t bucket = BucketOf(
      static_cast<std::uint64_t>(std::max<std::int64_t>(value.count(), 0)));
  if (bucket >= buckets_.size()) {
    buckets_.resize(bucket + 1);
  }
  ++buckets_[bucket];
  ++count_;
}

void log_linear_histogram::Merge(const log_linear_histogram& other) {
  buckets_.resize(std::max(buckets_.size(), other.buckets_.size()));
  for (std::size_t i = 0; i < other.buckets_.size(); ++i) {
    buckets_[i] += other.buckets_[i];
  }
  count_ += other.count_;
}

std::chrono::microseconds log_linear_histogram::Quantile(double share) const {
  const auto wanted = static_cast<std::uint64_t>(
      std::ceil(share * static_cast<double>(count_)));
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    seen += buckets_[i];
    if (seen > 0 && seen >= wanted) {
      return std::chrono::microseconds(UpperEndOf(i));
    }
  }
  return std::chrono::microseconds(0);
}

}  // namespace auburnfold
