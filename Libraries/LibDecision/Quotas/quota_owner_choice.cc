#include "LibDecision/Quotas/quota_owner_choice.h"

#include <algorithm>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

/// In large fleets, some member changes all the time.
constexpr duration kMinUpdateInterval = std::chrono::milliseconds(200);
/// Members that disappear may be cut off rather than gone, and still admit
/// requests. Nodes that are cut off from the key-value store soon refuse
/// requests with API keys by themselves.
constexpr duration kPeakPeriod = std::chrono::seconds(10);

}  // namespace

std::optional<quota_owner> quota_owner_choice::OwnerOf(
    instant now,
    const tenant_name& tenant) {
  Update(now);
  const auto found = choices_.find(tenant);
  const bool is_current = found != choices_.end() &&
                          found->second.generation == generation_ &&
                          IsReady(found->second.owner.node);
  if (is_current) {
    return found->second.owner;
  }
  if (ready_.empty()) {
    return std::nullopt;
  }
  choice& chosen = choices_[tenant];
  const node_id owner = HighestRanked(tenant);
  if (chosen.generation == 0 || chosen.owner.node != owner) {
    chosen.owner = {owner, updated_at_};
  }
  chosen.generation = generation_;
  return chosen.owner;
}

std::size_t quota_owner_choice::RecentMemberCount(instant now) {
  Update(now);
  return std::max(current_peak_, previous_peak_);
}

double quota_owner_choice::RecentMemberShare(instant now) {
  const std::size_t recent = RecentMemberCount(now);
  return static_cast<double>(std::max<std::size_t>(ready_.size(), 1)) /
         static_cast<double>(recent);
}

void quota_owner_choice::Update(instant now) {
  if (now >= period_end_) {
    const bool is_next = now < period_end_ + kPeakPeriod;
    previous_peak_ = is_next ? current_peak_ : std::max(ready_.size(), 1UL);
    current_peak_ = std::max(ready_.size(), 1UL);
    period_end_ = now + kPeakPeriod;
  }
  const bool is_first = generation_ == 0;
  const bool is_due = now - updated_at_ >= kMinUpdateInterval;
  if (!is_first && (members_.digest() == digest_ || !is_due)) {
    return;
  }
  std::vector<node_id> ready;
  for (const auto& [node, record] : members_.members()) {
    if (record.state == member_state::kReady) {
      ready.push_back(node);
    }
  }
  digest_ = members_.digest();
  if (is_first || ready != ready_) {
    ready_ = std::move(ready);
    ++generation_;
    updated_at_ = now;
  }
  current_peak_ = std::max(current_peak_, ready_.size());
}

bool quota_owner_choice::IsReady(node_id node) const {
  const member_record* record = members_.Find(node);
  return record != nullptr && record->state == member_state::kReady;
}

// Rendezvous hashing: a change of one member moves only the tenants that it
// owns or takes over.
node_id quota_owner_choice::HighestRanked(const tenant_name& tenant) const {
  const std::uint64_t hash = StableHash(tenant.value());
  node_id highest;
  std::uint64_t highest_score = 0;
  for (const node_id node : ready_) {
    const std::uint64_t score =
        MixBits(hash * kGoldenGamma ^ MixBits(node.value()));
    if (score >= highest_score && IsReady(node)) {
      highest = node;
      highest_score = score;
    }
  }
  return highest;
}

}  // namespace auburnfold
