#include "LibDecision/Registry/node_registry.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "LibDecision/Quarantine/crash_codec.h"
#include "LibDecision/Registry/member_codec.h"

namespace auburnfold {

namespace {

using std::chrono::seconds;

// A watch that no longer receives changes is replaced after this time, which
// need not be short: callers also learn from an endpoint's node that the
// endpoint is leaving.
constexpr duration kMinWatchDuration = seconds(8);
constexpr duration kRelistInterval = seconds(60);
// Nodes that start together register within one heartbeat interval of their
// endpoints, and a caller that learns of a change half a second later loses at
// most one attempt.
constexpr duration kDelayAfterChange = std::chrono::milliseconds(500);
// Each request to an endpoint that has left meanwhile is refused by its node as
// not executed, and goes elsewhere.
constexpr duration kMaxDelayPerNode = std::chrono::milliseconds(20);
constexpr duration kMaxDelayAfterChange = seconds(2);
// Shorter than the two seconds within which records are back. The watch of the
// routes retries more often, and its success ends the wait.
constexpr backoff_policy kRetryBackoff{std::chrono::milliseconds(200),
                                       std::chrono::milliseconds(1600), 3};
// Time from the expiry of a record until its node may be removed. Nodes that
// are alive and reach the store restore their records within two seconds after
// it is available again.
constexpr duration kLapseGracePeriod = std::chrono::milliseconds(2500);
// A node that has answered a call within this time remains a member, even if it
// does not reach the store.
constexpr duration kRecentAnswerWindow = seconds(3);

}  // namespace

node_registry::node_registry(membership& members,
                             quarantine& request_quarantine)
    : members_(members),
      quarantine_(request_quarantine),
      watch_({.prefix = std::string(kRegistryPrefix),
              .owner = timer_owner::kRegistryWatch,
              .caller = store_caller::kRegistryWatch,
              .min_wait = kMinWatchDuration,
              .delay_after_change = kDelayAfterChange,
              .max_delay_per_node = kMaxDelayPerNode,
              .max_delay_after_change = kMaxDelayAfterChange,
              .retry_backoff = kRetryBackoff,
              .relist_interval = kRelistInterval}) {}

void node_registry::Start(event_context& context) {
  watch_.Start(context);
}

void node_registry::OnStoreAnswered(event_context& context,
                                    const store_answered& answer) {
  std::optional<prefix_update> update;
  watch_.set_node_count(members_.list().members().size());
  if (!watch_.OnStoreAnswered(context, answer, update)) {
    return registration_.OnStoreAnswered(context, answer);
  }
  if (!update) {
    return;
  }
  for (const store_entry& entry : update->entries) {
    ApplyEntry(context, entry);
  }
  for (const unreadable_entry& entry : update->unreadable) {
    IgnoreEntry(context, entry);
  }
  quarantine_.OnStoreEntries(context, *update);
  const bool has_crashes = std::any_of(
      update->entries.begin(), update->entries.end(),
      [](const store_entry& entry) { return ParseCrashKey(entry.key); });
  if (has_crashes) {
    watch_.ShortenDelay(context);
  }
  if (update->is_listing) {
    NoteFirstListing(update->entries);
    MarkUnlistedAsLapsed(context, *update);
    may_list_older_records_ = false;
  }
  ScheduleLapseCheck(context);
}

// A node publishes its own record only after the first listing.
void node_registry::NoteFirstListing(const std::vector<store_entry>& listed) {
  if (!std::exchange(is_first_listing_, false)) {
    return;
  }
  const auto own = std::find_if(
      listed.begin(), listed.end(), [this](const store_entry& entry) {
        return ParseMemberKey(entry.key) == members_.self().node;
      });
  if (own != listed.end()) {
    lists_earlier_run_ = true;
    earlier_record_ = DecodeMember(own->key, own->value);
  }
}

void node_registry::OnStoreEraChanged(event_context& context) {
  may_list_older_records_ = true;
  quarantine_.OnStoreEraChanged();
  registration_.OnStoreEraChanged(context);
  watch_.OnStoreEraChanged(context);
}

void node_registry::OnStoreRegained(event_context& context) {
  watch_.RetryNow(context);
  registration_.RetryNow(context);
}

// The next run of the node learns from the record that its endpoint leaves.
void node_registry::OnStopped(event_context& context) {
  is_stopped_ = true;
  if (!members_.self().leave) {
    registration_.Withdraw(context);
  }
}

void node_registry::OnTimer(event_context& context, timer_owner owner) {
  if (owner == timer_owner::kRegistryWatch) {
    return watch_.OnTimer(context);
  }
  registration_.OnTimer(context);
}

// A node without an endpoint serves no requests and need not be discovered. A
// stopped one still gets reports while it waits for late requests.
void node_registry::PublishChanges(event_context& context) {
  const member_record& self = members_.self();
  const bool has_endpoint = self.service != service_name();
  const bool is_needed = has_endpoint && (!is_stopped_ || self.leave);
  if (!is_needed || self == published_ || !watch_.is_listed()) {
    return;
  }
  published_ = self;
  registration_.Publish(context, self);
}

void node_registry::OnPeerView(event_context& context,
                               const std::vector<member_record>& records) {
  if (watch_.is_listed()) {
    return;
  }
  for (const member_record& record : records) {
    if (record.node == members_.self().node) {
      if (record.run < members_.self().run) {
        earlier_record_ = record;
      }
      continue;
    }
    if (members_.Find(record.node) == nullptr) {
      members_.Replace(context, record);
    }
  }
}

bool node_registry::IsSilent(instant now,
                             instant lapsed_at,
                             instant answered_at) {
  return now - lapsed_at >= kLapseGracePeriod &&
         now - answered_at >= kRecentAnswerWindow;
}

void node_registry::ApplyEntry(event_context& context,
                               const store_entry& entry) {
  if (entry.is_removed) {
    return ApplyRemoval(context, entry.key);
  }
  if (ParseCrashKey(entry.key)) {
    return DecodeCrash(entry.key, entry.value)
               ? ignored_.Remove(entry.key)
               : ignored_.Add(context, {entry.key, entry.revision, "value"});
  }
  const member_reading reading = ReadMember(entry.key, entry.value);
  const unreadable_entry unreadable{entry.key, entry.revision,
                                    reading.unread_field};
  if (ParseMemberKey(entry.key) == members_.self().node) {
    if (!reading.record) {
      ignored_.Add(context, unreadable);
    }
    return registration_.OnValueSeen(context, entry.value, entry.revision);
  }
  if (!reading.record) {
    return IgnoreEntry(context, unreadable);
  }
  const member_record& record = *reading.record;
  ignored_.Remove(entry.key);
  lapsed_since_.erase(record.node);
  if (may_list_older_records_ && IsOutdated(record)) {
    return;
  }
  members_.Replace(context, record);
}

void node_registry::ApplyRemoval(event_context& context,
                                 const std::string& key) {
  ignored_.Remove(key);
  const std::optional<node_id> node = ParseMemberKey(key);
  if (node == members_.self().node) {
    return registration_.OnKeyMissing(context);
  }
  if (node) {
    OnKeyRemoved(context, *node);
  }
}

// What another writer left has no lease, so it does not end with the node.
void node_registry::IgnoreEntry(event_context& context,
                                const unreadable_entry& entry) {
  ignored_.Add(context, entry);
  const std::optional<node_id> node = ParseMemberKey(entry.key);
  if (node == members_.self().node) {
    return registration_.OnValueSeen(context, {}, entry.revision);
  }
  if (node) {
    OnKeyRemoved(context, *node);
  }
}

bool node_registry::IsOutdated(const member_record& record) const {
  const member_record* known = members_.Find(record.node);
  return known != nullptr && std::pair(record.run, record.version) <
                                 std::pair(known->run, known->version);
}

void node_registry::OnKeyRemoved(event_context& context, node_id node) {
  const member_record* member = members_.Find(node);
  if (member == nullptr || member->state == member_state::kGone) {
    return;
  }
  // A node that announced its leave has left on purpose.
  if (member->state == member_state::kLeaving) {
    return RemoveMember(context, node);
  }
  lapsed_since_.emplace(node, context.now());
}

void node_registry::MarkUnlistedAsLapsed(event_context& context,
                                         const prefix_update& update) {
  std::set<node_id> listed_nodes;
  const auto add = [&listed_nodes](const auto& entry) {
    if (const auto node = ParseMemberKey(entry.key)) {
      listed_nodes.insert(*node);
    }
  };
  std::for_each(update.entries.begin(), update.entries.end(), add);
  std::for_each(update.unreadable.begin(), update.unreadable.end(), add);
  std::vector<node_id> missing;
  for (const auto& [node, record] : members_.list().members()) {
    if (!listed_nodes.contains(node) && node != members_.self().node) {
      missing.push_back(node);
    }
  }
  for (const node_id node : missing) {
    OnKeyRemoved(context, node);
  }
  if (!listed_nodes.contains(members_.self().node)) {
    registration_.OnKeyMissing(context);
  }
}

void node_registry::RemoveMember(event_context& context, node_id node) {
  lapsed_since_.erase(node);
  if (const member_record* member = members_.Find(node)) {
    member_record gone = *member;
    gone.state = member_state::kGone;
    context.Count(counter::kMembersFoundDead);
    members_.Replace(context, gone);
  }
}

void node_registry::ScheduleLapseCheck(event_context& context) {
  if (!lapsed_since_.empty()) {
    context.timers().Schedule({timer_owner::kRegistryLapse},
                              context.now() + kLapseGracePeriod);
  }
}

}  // namespace auburnfold
