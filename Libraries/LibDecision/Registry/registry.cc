#include "LibDecision/Registry/registry.h"

#include <chrono>
#include <set>

#include "LibDecision/Registry/member_codec.h"

namespace auburnfold {

namespace {

using std::chrono::seconds;

// A watch that no longer receives changes is replaced after this time. It need
// not be short, since callers learn that an endpoint is leaving from its node
// as well.
constexpr duration kMaxWatchDuration = seconds(8);
constexpr duration kRelistInterval = seconds(30);
// Nodes that start together register within one heartbeat interval of their
// endpoints, and a caller that learns of a change half a second later loses at
// most one attempt.
constexpr duration kDelayAfterChange = std::chrono::milliseconds(500);
// Nodes that are alive and reach the store restore their records within two
// seconds after it is available again.
constexpr duration kLapseGracePeriod = std::chrono::milliseconds(2500);
// A node that has answered a call within this time remains a member, even if it
// does not reach the store.
constexpr duration kRecentAnswerWindow = seconds(3);

}  // namespace

registry::registry(membership& members)
    : members_(members),
      watch_({.prefix = std::string(kRegistryPrefix),
              .owner = timer_owner::kRegistryWatch,
              .caller = store_caller::kRegistryWatch,
              .longest_wait = kMaxWatchDuration,
              .pause = kDelayAfterChange,
              .relist_interval = kRelistInterval}) {}

void registry::Start(step& now) {
  watch_.Start(now);
}

void registry::OnStoreAnswered(step& now, const store_answered& answer) {
  std::optional<prefix_change> change;
  if (!watch_.OnStoreAnswered(now, answer, change)) {
    return registration_.OnStoreAnswered(now, answer);
  }
  if (!change) {
    return;
  }
  for (const store_entry& entry : change->entries) {
    ApplyEntry(now, entry);
  }
  if (change->is_listing) {
    MarkUnlistedAsLapsed(now, change->entries);
  }
  ScheduleLapseCheck(now);
}

void registry::OnTimer(step& now, timer_owner owner) {
  if (owner == timer_owner::kRegistryWatch) {
    return watch_.OnTimer(now);
  }
  registration_.OnTimer(now);
}

// A node without an endpoint serves no requests and need not be discovered.
void registry::PublishChanges(step& now) {
  const member_record& self = members_.self();
  const bool has_endpoint = self.service != service_name();
  if (!has_endpoint || self == published_ || !watch_.is_listed() ||
      self.state == member_state::kGone) {
    return;
  }
  published_ = self;
  registration_.Publish(now, self);
}

void registry::OnToldBy(step& now, const std::vector<member_record>& records) {
  if (watch_.is_listed()) {
    return;
  }
  for (const member_record& record : records) {
    const bool is_other = record.node != members_.self().node;
    if (is_other && members_.Find(record.node) == nullptr) {
      members_.Replace(now, record);
    }
  }
}

bool registry::IsSilent(instant now, instant lapsed, instant answered) {
  return now - lapsed >= kLapseGracePeriod &&
         now - answered >= kRecentAnswerWindow;
}

void registry::ApplyEntry(step& now, const store_entry& entry) {
  const std::optional<node_id> node = NodeOfKey(entry.key);
  if (!node) {
    return;
  }
  const bool is_own = *node == members_.self().node;
  if (entry.is_removed) {
    return is_own ? registration_.OnMissing(now) : OnKeyRemoved(now, *node);
  }
  if (is_own) {
    return registration_.OnSeen(now, entry.value, entry.revision);
  }
  if (const auto record = DecodeMember(entry.key, entry.value)) {
    lapsed_since_.erase(*node);
    members_.Replace(now, *record);
  }
}

void registry::OnKeyRemoved(step& now, node_id node) {
  const member_record* member = members_.Find(node);
  if (member == nullptr || member->state == member_state::kGone) {
    return;
  }
  // A node that announced its leave has left on purpose.
  if (member->state == member_state::kLeaving) {
    return RemoveMember(now, node);
  }
  lapsed_since_.emplace(node, now.now());
}

void registry::MarkUnlistedAsLapsed(step& now,
                                    const std::vector<store_entry>& listed) {
  std::set<node_id> listed_nodes;
  for (const store_entry& entry : listed) {
    if (const auto node = NodeOfKey(entry.key)) {
      listed_nodes.insert(*node);
    }
  }
  std::vector<node_id> missing;
  for (const auto& [node, record] : members_.list().members()) {
    if (!listed_nodes.contains(node) && node != members_.self().node) {
      missing.push_back(node);
    }
  }
  for (const node_id node : missing) {
    OnKeyRemoved(now, node);
  }
  if (!listed_nodes.contains(members_.self().node)) {
    registration_.OnMissing(now);
  }
}

void registry::RemoveMember(step& now, node_id node) {
  lapsed_since_.erase(node);
  if (const member_record* member = members_.Find(node)) {
    member_record gone = *member;
    gone.state = member_state::kGone;
    now.Count(counter::kMembersFoundDead);
    members_.Replace(now, gone);
  }
}

void registry::ScheduleLapseCheck(step& now) {
  if (!lapsed_since_.empty()) {
    now.timers().Subscribe({timer_owner::kRegistryLapse},
                           now.now() + kLapseGracePeriod);
  }
}

}  // namespace auburnfold
