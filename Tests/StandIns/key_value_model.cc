#include "StandIns/key_value_model.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

std::optional<key_value_entry> key_value_model::Get(
    const std::string& key) const {
  const auto found = content_.values.find(key);
  if (found == content_.values.end()) {
    return std::nullopt;
  }
  return key_value_entry{key, found->second.value, found->second.revision};
}

std::vector<key_value_entry> key_value_model::List(const std::string& prefix,
                                                   std::uint64_t after) const {
  std::vector<key_value_entry> entries;
  for (auto each = content_.values.lower_bound(prefix);
       each != content_.values.end() && each->first.starts_with(prefix);
       ++each) {
    if (each->second.revision > after) {
      entries.push_back(
          {each->first, each->second.value, each->second.revision});
    }
  }
  return entries;
}

std::vector<key_value_entry> key_value_model::Removed(
    const std::string& prefix,
    std::uint64_t after) const {
  std::vector<key_value_entry> removed;
  for (const auto& [key, revision] : content_.removed) {
    if (key.starts_with(prefix) && revision > after) {
      removed.push_back({key, "", revision});
    }
  }
  return removed;
}

write_result key_value_model::Put(const std::string& key,
                                  std::string value,
                                  std::uint64_t expected,
                                  std::optional<std::uint64_t> lease) {
  if (value.size() > kStoreValueLimitBytes) {
    return value_too_large{};
  }
  if (lease && !leases_.contains(*lease)) {
    return lease_lapsed{};
  }
  const std::optional<key_value_entry> current = Get(key);
  if ((current ? current->revision : 0) != expected) {
    return key_value_conflict{current};
  }
  const std::uint64_t revision = ++content_.revision;
  content_.values[key] = {value, revision, lease};
  content_.removed.erase(key);
  return key_value_entry{key, std::move(value), revision};
}

std::uint64_t key_value_model::CreateLease(instant now, duration ttl) {
  const std::uint64_t lease = next_lease_++;
  leases_[lease] = {now + ttl, ttl};
  return lease;
}

bool key_value_model::RenewLease(instant now, std::uint64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end() || found->second.lapses_at <= now) {
    return false;
  }
  found->second.lapses_at = now + found->second.ttl;
  return true;
}

std::vector<std::string> key_value_model::LapseLeases(instant now) {
  std::unordered_set<std::uint64_t> lapsed;
  for (const auto& [lease, state] : leases_) {
    if (state.lapses_at <= now) {
      lapsed.insert(lease);
    }
  }
  std::vector<std::string> vanished;
  for (const auto& [key, stored] : content_.values) {
    if (stored.lease && lapsed.contains(*stored.lease)) {
      vanished.push_back(key);
    }
  }
  for (const std::string& key : vanished) {
    content_.removed[key] = ++content_.revision;
    content_.values.erase(key);
  }
  for (const std::uint64_t lease : lapsed) {
    leases_.erase(lease);
  }
  return vanished;
}

bool key_value_model::EndLease(instant now, std::uint64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return false;
  }
  found->second.lapses_at = now;
  return true;
}

duration key_value_model::TimeToLive(std::uint64_t lease) const {
  const auto found = leases_.find(lease);
  return found == leases_.end() ? duration::zero() : found->second.ttl;
}

std::optional<instant> key_value_model::next_lapse() const {
  std::optional<instant> next;
  for (const auto& [lease, state] : leases_) {
    next = std::min(next.value_or(state.lapses_at), state.lapses_at);
  }
  return next;
}

void key_value_model::SaveSnapshot(const std::string& name) {
  snapshots_[name] = content_;
}

bool key_value_model::RestoreSnapshot(const std::string& name) {
  const auto found = snapshots_.find(name);
  if (found == snapshots_.end()) {
    return false;
  }
  content_ = found->second;
  return true;
}

}  // namespace auburnfold
