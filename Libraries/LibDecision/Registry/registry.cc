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
constexpr duration kLongestWatch = seconds(8);
constexpr duration kRelistInterval = seconds(30);
// Nodes that start together register within one heartbeat interval of their
// endpoints, and a caller that learns of a change half a second later loses at
// most one attempt.
constexpr duration kWatchPause = std::chrono::milliseconds(500);
// Nodes that are alive and reach the store restore their records within two
// seconds after it is available again.
constexpr duration kLapseGrace = std::chrono::milliseconds(2500);
// A node that has answered a call within this time remains a member, even if it
// does not reach the store.
constexpr duration kAnswerMemory = seconds(3);

}  // namespace

registry::registry(membership& members)
    : members_(members),
      watch_({.prefix = std::string(kRegistryPrefix),
              .owner = timer_owner::kRegistryWatch,
              .caller = store_caller::kRegistryWatch,
              .longest_wait = kLongestWatch,
              .pause = kWatchPause,
              .relist_interval = kRelistInterval}) {}

void registry::Start(step& now) {
  watch_.Start(now);
}

void registry::OnStoreAnswered(step& now, const store_answered& answer) {
  std::optional<prefix_change> change;
  if (!watch_.OnStoreAnswered(now, answer, change)) {
    return own_.OnStoreAnswered(now, answer);
  }
  if (!change) {
    return;
  }
  for (const store_entry& entry : change->entries) {
    Take(now, entry);
  }
  if (change->is_listing) {
    LapseUnlisted(now, change->entries);
  }
  WatchLapsed(now);
}

void registry::OnTimer(step& now, timer_owner owner) {
  if (owner == timer_owner::kRegistryWatch) {
    return watch_.OnTimer(now);
  }
  own_.OnTimer(now);
}

// A node without an endpoint serves no requests and need not be discovered.
void registry::PublishChanges(step& now) {
  const member_record& self = members_.self();
  const bool is_found = self.service != service_name();
  if (!is_found || self == published_ || !watch_.is_listed() ||
      self.state == member_state::kGone) {
    return;
  }
  published_ = self;
  own_.Publish(now, self);
}

void registry::OnToldBy(step& now, const std::vector<member_record>& known) {
  if (watch_.is_listed()) {
    return;
  }
  for (const member_record& record : known) {
    const bool is_other = record.node != members_.self().node;
    if (is_other && members_.Find(record.node) == nullptr) {
      members_.Replace(now, record);
    }
  }
}

bool registry::IsSilent(instant now, instant lapsed, instant answered) {
  return now - lapsed >= kLapseGrace && now - answered >= kAnswerMemory;
}

void registry::Take(step& now, const store_entry& entry) {
  const std::optional<node_id> node = NodeOfKey(entry.key);
  if (!node) {
    return;
  }
  const bool is_own = *node == members_.self().node;
  if (entry.is_removed) {
    return is_own ? own_.OnMissing(now) : OnRemoved(now, *node);
  }
  if (is_own) {
    return own_.OnSeen(now, entry.value, entry.revision);
  }
  if (const auto record = DecodeMember(entry.key, entry.value)) {
    lapsed_.erase(*node);
    members_.Replace(now, *record);
  }
}

void registry::OnRemoved(step& now, node_id node) {
  const member_record* held = members_.Find(node);
  if (held == nullptr || held->state == member_state::kGone) {
    return;
  }
  // A node that announced its leave has left on purpose.
  if (held->state == member_state::kLeaving) {
    return Drop(now, node);
  }
  lapsed_.emplace(node, now.now());
}

void registry::LapseUnlisted(step& now,
                             const std::vector<store_entry>& listed) {
  std::set<node_id> found;
  for (const store_entry& entry : listed) {
    if (const auto node = NodeOfKey(entry.key)) {
      found.insert(*node);
    }
  }
  std::vector<node_id> missing;
  for (const auto& [node, record] : members_.list().members()) {
    if (!found.contains(node) && node != members_.self().node) {
      missing.push_back(node);
    }
  }
  for (const node_id node : missing) {
    OnRemoved(now, node);
  }
  if (!found.contains(members_.self().node)) {
    own_.OnMissing(now);
  }
}

void registry::Drop(step& now, node_id node) {
  lapsed_.erase(node);
  if (const member_record* held = members_.Find(node)) {
    member_record gone = *held;
    gone.state = member_state::kGone;
    now.Count(counter::kMembersFoundDead);
    members_.Replace(now, gone);
  }
}

void registry::WatchLapsed(step& now) {
  if (!lapsed_.empty()) {
    now.timers().Subscribe({timer_owner::kRegistryLapse},
                           now.now() + kLapseGrace);
  }
}

}  // namespace auburnfold
