#include "LibDecision/Table/row_set.h"

#include <tuple>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

std::uint64_t HashOf(const service_name& service,
                     const class_name& request_class) {
  return StableHash(request_class.value(), StableHash(service.value()));
}

auto AgeOf(const table_row& row) {
  return std::tie(row.version, row.change);
}

}  // namespace

bool row_set::Take(const table_row& row) {
  const row_name name{row.service, row.request_class};
  const auto found = rows_.find(name);
  if (found == rows_.end()) {
    rows_.emplace(name, row);
    AddToDigests(row);
    return true;
  }
  if (AgeOf(found->second) >= AgeOf(row)) {
    return false;
  }
  AddToDigests(found->second);
  found->second = row;
  AddToDigests(row);
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
  return {buckets_.begin(), buckets_.end()};
}

std::vector<table_row> row_set::InBucket(std::size_t bucket) const {
  std::vector<table_row> inside;
  for (const auto& [name, row] : rows_) {
    if (BucketOf(name) == bucket) {
      inside.push_back(row);
    }
  }
  return inside;
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

// Adding the same row twice removes it again.
void row_set::AddToDigests(const table_row& row) {
  const std::uint64_t hash = StableHash(
      row.change.value(),
      MixBits(HashOf(row.service, row.request_class) + row.version.value()));
  buckets_[BucketOf({row.service, row.request_class})] ^= hash;
  digest_ ^= hash;
}

}  // namespace auburnfold
