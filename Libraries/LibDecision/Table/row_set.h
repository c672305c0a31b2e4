#ifndef LIBDECISION_TABLE_ROW_SET_H_
#define LIBDECISION_TABLE_ROW_SET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// The newest known version of each row, with digests for comparing the copies
/// of two nodes.
class row_set {
 public:
  static constexpr std::size_t kBucketCount = 64;

  /// Applies `row` if it is newer than the local copy. Returns whether it was.
  /// Two rows can have the same version only if the key-value store lost
  /// writes. All nodes then choose the same row, by its change id.
  bool ApplyIfNewer(const table_row& row);

  const table_row* Find(const service_name& service,
                        const class_name& request_class) const;
  bool has_service(const service_name& service) const;

  /// Digest of all rows; never 0, not even for an empty set.
  std::uint64_t digest() const { return digest_; }
  std::vector<std::uint64_t> bucket_digests() const;
  std::vector<table_row> RowsInBucket(std::size_t bucket) const;
  std::vector<table_row> All() const;

 private:
  using row_name = std::pair<service_name, class_name>;

  static std::size_t BucketOf(const row_name& name);
  void ToggleInDigests(const table_row& row);

  std::map<row_name, table_row> rows_;
  std::array<std::uint64_t, kBucketCount> bucket_digests_{};
  std::uint64_t digest_ = 1;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TABLE_ROW_SET_H_
