#include "LibDecision/Table/row_set.h"

#include <tuple>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

std::uint64_t HashOf(const service_name& service,
                     const class_name& request_class) {
  return StableHash(request_class.value(), StableHash(service.value()));
}

auto OrderingKey(const table_row& row) {
  return std::tie(row.version, row.change);
}

}  // namespace

bool row_set::ApplyIfNewer(const table_row& row) {
  const row_name name{row.service, row.request_class};
  const auto found = rows_.find(name);
  if (found == rows_.end()) {
    rows_.emplace(name, row);
    ToggleInDigests(row);
    return true;
  }
  if (OrderingKey(found->second) >= OrderingKey(row)) {
    return false;
  }
  ToggleInDigests(found->second);
  found->second = row;
  ToggleInDigests(row);
  return true;
}

const table_row* row_set::Find(const service_name& service,
                               const class_name& request_class) const {
  const auto found = rows_.find({service, request_class});
  return found == rows_.end() ? nullptr : &found->second;
}

bool row_set::has_service(const service_name& service) const {
  const auto first = rows_.lower_bound({service, class_name()});
  return first != rows_.end() && first->first.first == service;
}

std::vector<std::uint64_t> row_set::bucket_digests() const {
  return {bucket_digests_.begin(), bucket_digests_.end()};
}

std::vector<table_row> row_set::RowsInBucket(std::size_t bucket) const {
  std::vector<table_row> result;
  for (const auto& [name, row] : rows_) {
    if (BucketOf(name) == bucket) {
      result.push_back(row);
    }
  }
  return result;
}

std::vector<table_row> row_set::All() const {
  std::vector<table_row> all;
  all.reserve(rows_.size());
  for (const auto& [name, row] : rows_) {
    all.push_back(row);
  }
  return all;
}

std::size_t row_set::BucketOf(const row_name& name) {
  return HashOf(name.first, name.second) % kBucketCount;
}

// XORs the row's hash into the digests, so that a second call with the same row
// removes it.
void row_set::ToggleInDigests(const table_row& row) {
  const std::uint64_t hash = StableHash(
      row.change.value(),
      MixBits(HashOf(row.service, row.request_class) + row.version.value()));
  bucket_digests_[BucketOf({row.service, row.request_class})] ^= hash;
  digest_ ^= hash;
}

}  // namespace auburnfold
