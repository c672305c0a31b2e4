#include "LibDecision/Membership/membership.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include "LibDecision/Membership/overlay.h"

namespace auburnfold {

namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr duration kSeedContactInterval = seconds(10);
constexpr duration kGoneContactInterval = seconds(5);
constexpr duration kGoneRetention = hours(2);
// After this time, a node that reaches neither the key-value store nor a
// synced peer starts to serve without the table.
constexpr duration kSyncTimeout = seconds(5);
constexpr duration kStartupPeriod = seconds(10);
constexpr std::size_t kMaxRecordsForwardedAtStartup = 8;
constexpr std::size_t kMaxSeedsContactedAtOnce = 3;
constexpr std::size_t kWatchersPerDomain = 2;
constexpr std::size_t kSeedsPerDomain = 3;

}  // namespace

void membership::Start(event_context& context, const node_started& self) {
  self_.node = self.node;
  self_.run = self.run;
  self_.address = self.address;
  self_.domain = self.domain;
  seeds_ = self.seeds;
  started_at_ = context.now();
  member_list_.ApplyIfNewer(self_);
  if (discovery_ == discovery_mode::kRegistry) {
    return;
  }
  gossip_.set_self(self_);
  gossip_.UpdateNeighbours(context, seeds_);
  seed_discovery_.Start(context, UpdateDomainView(context));
  ContactSeeds(context);
  context.timers().Schedule(
      {timer_owner::kMembership},
      context.now() + failure_detector::kHeartbeatInterval);
}

// The record keeps the report that announced a leave: a change with each report
// that repeats it would cost a write.
void membership::OnEndpointReported(
    event_context&,
    const endpoint_reported& report,
    const std::optional<endpoint_leave>& leave) {
  self_.service = report.service;
  self_.slots = report.slots;
  const bool is_repeated = leave && self_.leave &&
                           leave->endpoint == self_.leave->endpoint &&
                           leave->is_final == self_.leave->is_final;
  if (!is_repeated) {
    self_.leave = leave;
  }
  endpoint_state_ = report.state;
  UpdateOwnRecord();
}

void membership::SetProvenRoutes(const proven_routes& routes) {
  self_.routes = routes;
  UpdateOwnRecord();
}

void membership::SetDraining(event_context&, bool is_draining) {
  is_draining_ = is_draining;
  UpdateOwnRecord();
}

void membership::FillAdminResult(event_context& context,
                                 admin_result& result) const {
  for (const auto& [node, record] : member_list_.members()) {
    result.members.push_back(record);
  }
  for (const auto& [node, record] : member_list_.gone()) {
    result.members.push_back(record);
  }
  gossip_.FillPeerCounts(context.now(), result);
}

void membership::OnStopRequested(event_context&) {
  is_stopping_ = true;
  UpdateOwnRecord();
}

void membership::OnStopped(event_context& context) {
  if (discovery_ == discovery_mode::kRegistry) {
    return;
  }
  self_.state = member_state::kGone;
  ++self_.version;
  gossip_.set_self(self_);
  if (is_published_) {
    gossip_.QueueBroadcast(self_, self_.node);
  }
  gossip_.FlushIgnoringBudget(context);
}

void membership::OnMessage(event_context& context,
                           const peer_message& message) {
  if (message.from == self_.node) {
    return;
  }
  failure_detector_.OnMessageFrom(context.now(), message.from);
  if (const auto* beat = std::get_if<heartbeat>(&message.content)) {
    return OnHeartbeat(context, message, *beat);
  }
  if (const auto* update = std::get_if<member_update>(&message.content)) {
    return OnMemberUpdate(context, message.from, *update);
  }
  if (const auto* theirs = std::get_if<bucket_digests>(&message.content)) {
    return gossip_.OnBucketDigests(context, message, *theirs);
  }
  if (const auto* request = std::get_if<bucket_request>(&message.content)) {
    // An empty request is a probe of the failure detector or of a joining node.
    const bool is_probe = request->members.empty() && request->rows.empty();
    if (is_probe) {
      return gossip_.Send(context, message.from_address, gossip_.Heartbeat());
    }
    gossip_.OnBucketRequest(context, message, *request);
  }
}

void membership::OnHeartbeat(event_context& context,
                             const peer_message& message,
                             const heartbeat& theirs) {
  if (theirs.table_digest != 0) {
    policy_table_.OnPeerDigest(theirs.table_digest);
  }
  const member_record* current = member_list_.Find(message.from);
  const bool is_believed_gone = current != nullptr &&
                                current->state == member_state::kGone &&
                                current->run >= message.from_run;
  if (is_believed_gone) {
    gossip_.Send(context, message.from_address, member_update{{*current}});
  }
  gossip_.OnHeartbeat(context, message, theirs);
}

void membership::OnStoreAnswered(event_context& context,
                                 const store_answered& answer) {
  const bool had_addresses = !seed_discovery_.addresses().empty();
  seed_discovery_.OnStoreAnswered(context, answer);
  const bool has_first_addresses =
      !had_addresses && !seed_discovery_.addresses().empty();
  if (has_first_addresses && member_list_.members().size() == 1) {
    ContactSeeds(context);
  }
}

void membership::OnTimer(event_context& context, std::uint64_t) {
  context.timers().Schedule(
      {timer_owner::kMembership},
      context.now() + failure_detector::kHeartbeatInterval);
  CheckForFailures(context);
  const domain_view view = UpdateDomainView(context);
  gossip_.UpdateNeighbours(context, KnownSeeds());
  gossip_.SendHeartbeats(context);
  seed_discovery_.OnHeartbeatInterval(context, view);
  const bool is_joining = view.is_alone || !is_published_;
  if (is_joining ||
      context.now() - seeds_contacted_at_ >= kSeedContactInterval) {
    ContactSeeds(context);
  }
  if (context.now() - gone_contacted_at_ >= kGoneContactInterval) {
    ContactRandomGoneNode(context);
    DiscardExpiredGoneNodes(context);
  }
}

void membership::BroadcastChanges(event_context& context) {
  if (discovery_ == discovery_mode::kRegistry) {
    policy_table_.TakeChangedRows();
    return;
  }
  PublishIfSynced(context);
  gossip_.BroadcastRows(context, policy_table_.TakeChangedRows());
  gossip_.Flush(context);
}

bool membership::ApplyIfNewer(event_context& context,
                              const member_record& record) {
  const member_record* current = member_list_.Find(record.node);
  const bool was_gone =
      current != nullptr && current->state == member_state::kGone;
  const bool was_ready =
      current != nullptr && current->state == member_state::kReady;
  const bool is_same_incarnation =
      current != nullptr && current->run == record.run;
  if (!member_list_.ApplyIfNewer(record)) {
    context.Count(counter::kOldRecordsIgnored);
    return false;
  }
  if (record.state == member_state::kGone) {
    gone_at_[record.node] = context.now();
    if (was_ready) {
      failure_budget_.RecordFailure(context.now(),
                                    member_list_.members().size());
    }
    return true;
  }
  gone_at_.erase(record.node);
  if (was_gone && is_same_incarnation) {
    failure_detector_.OnRefuted(record.node);
  }
  return true;
}

void membership::Replace(event_context& context, const member_record& record) {
  const member_record* current = member_list_.Find(record.node);
  if (current == nullptr || *current != record) {
    member_list_.Replace(record);
    context.Count(counter::kMemberChanges);
  }
}

std::vector<const member_record*> membership::ReadyEndpoints(
    const service_name& service) const {
  return member_list_.Ready(service);
}

const member_record* membership::Find(node_id node) const {
  return member_list_.Find(node);
}

bool membership::has_service(const service_name& service) const {
  return member_list_.has_service(service);
}

// The local list changes at once, so that this node's own calls see the new
// state. Other nodes learn of it once this node is published, which waits until
// the table is synced.
void membership::UpdateOwnRecord() {
  const bool is_leaving =
      is_draining_ || is_stopping_ || endpoint_state_ != endpoint_state::kReady;
  const member_state state =
      is_leaving ? member_state::kLeaving : member_state::kReady;
  const member_record* current = member_list_.Find(self_.node);
  const bool is_unchanged =
      current->service == self_.service && current->slots == self_.slots &&
      current->leave == self_.leave && current->routes == self_.routes &&
      current->state == state;
  if (is_unchanged) {
    return;
  }
  self_.state = state;
  ++self_.version;
  member_list_.ApplyIfNewer(self_);
  gossip_.set_self(self_);
  if (is_published_) {
    gossip_.QueueBroadcast(self_, self_.node);
  }
}

void membership::PublishIfSynced(event_context& context) {
  if (is_published_) {
    return;
  }
  const bool has_timed_out = context.now() - started_at_ >= kSyncTimeout;
  const bool is_ready = policy_table_.is_synced() ||
                        (has_timed_out && policy_table_.is_store_unavailable());
  if (!is_ready) {
    return;
  }
  is_published_ = true;
  gossip_.UpdateNeighbours(context, KnownSeeds());
  gossip_.QueueBroadcast(self_, self_.node);
}

// Large updates that arrive soon after the start are not forwarded, because the
// other nodes already know these records.
void membership::OnMemberUpdate(event_context& context,
                                node_id from,
                                const member_update& update) {
  const bool is_starting = context.now() - started_at_ < kStartupPeriod;
  const bool is_forwarded =
      !is_starting || update.records.size() <= kMaxRecordsForwardedAtStartup;
  for (const member_record& record : update.records) {
    if (ApplyUpdateFrom(context, record, from) && is_forwarded) {
      gossip_.QueueBroadcast(record, from);
    }
  }
}

// Returns whether `record` is of another node and newer than the local copy.
bool membership::ApplyUpdateFrom(event_context& context,
                                 const member_record& record,
                                 node_id from) {
  if (record.node == self_.node) {
    if (IsNewer(record, self_)) {
      Refute(record);
    }
    return false;
  }
  if (ApplyIfNewer(context, record)) {
    return true;
  }
  const member_record* current = member_list_.Find(record.node);
  const bool is_sender_outdated =
      record.node == from && IsNewer(*current, record);
  if (is_sender_outdated) {
    gossip_.Send(context, record.address, member_update{{*current}});
  }
  return false;
}

// Other nodes have a newer record of this node: either one of them declared it
// dead, or an earlier process of this node ran with a clock that was ahead.
// This node raises its own incarnation and version above that record.
void membership::Refute(const member_record& newer_record) {
  if (self_.state == member_state::kGone) {
    return;
  }
  if (newer_record.run > self_.run) {
    self_.run = incarnation(newer_record.run.value() + 1);
  }
  self_.version = std::max(self_.version, newer_record.version) + 1;
  member_list_.ApplyIfNewer(self_);
  gossip_.set_self(self_);
  gossip_.QueueBroadcast(self_, self_.node);
}

void membership::CheckForFailures(event_context& context) {
  const failure_check_result result = failure_detector_.FindFailures(
      context, MonitoredBy(member_list_, self_.node));
  for (const node_id& node : result.to_probe) {
    gossip_.Send(context, member_list_.Find(node)->address, bucket_request{});
  }
  for (const node_id& node : result.dead) {
    if (failure_budget_.CanDeclareFailure(context.now(),
                                          member_list_.members().size())) {
      DeclareDead(context, node);
    }
  }
}

void membership::DeclareDead(event_context& context, node_id node) {
  member_record record = *member_list_.Find(node);
  record.state = member_state::kGone;
  ApplyIfNewer(context, record);
  context.Count(counter::kMembersFoundDead);
  gossip_.QueueBroadcast(record, self_.node);
}

void membership::ContactSeeds(event_context& context) {
  seeds_contacted_at_ = context.now();
  std::vector<node_address> candidates = KnownSeeds();
  const bool is_joining = member_list_.members().size() == 1 || !is_published_;
  std::erase_if(candidates, [&](const node_address& address) {
    const auto& members = member_list_.members();
    const bool is_member = std::any_of(
        members.begin(), members.end(),
        [&](const auto& entry) { return entry.second.address == address; });
    return address == self_.address || (is_member && !is_joining);
  });
  for (std::size_t contacted = 0;
       contacted < kMaxSeedsContactedAtOnce && !candidates.empty();
       ++contacted) {
    const auto chosen =
        candidates.begin() +
        static_cast<std::ptrdiff_t>(context.RandomBelow(candidates.size()));
    gossip_.Send(context, *chosen, bucket_request{});
    candidates.erase(chosen);
  }
}

// Two sides of a network partition regard each other as gone. Contacting a gone
// node lets them find each other again once the partition has healed.
void membership::ContactRandomGoneNode(event_context& context) {
  gone_contacted_at_ = context.now();
  const auto& gone = member_list_.gone();
  if (gone.empty()) {
    return;
  }
  const auto chosen =
      std::next(gone.begin(),
                static_cast<std::ptrdiff_t>(context.RandomBelow(gone.size())));
  gossip_.Send(context, chosen->second.address, gossip_.Heartbeat());
}

void membership::DiscardExpiredGoneNodes(event_context& context) {
  for (auto each = gone_at_.begin(); each != gone_at_.end();) {
    if (context.now() - each->second < kGoneRetention) {
      ++each;
      continue;
    }
    member_list_.DiscardGone(each->first);
    each = gone_at_.erase(each);
  }
}

domain_view membership::UpdateDomainView(event_context& context) {
  domain_view view{.domain = self_.domain,
                   .is_alone = member_list_.members().size() == 1};
  std::size_t members_before_self = 0;
  for (const auto& [node, record] : member_list_.members()) {
    if (record.domain != self_.domain) {
      continue;
    }
    if (view.addresses.size() < kSeedsPerDomain) {
      view.addresses.push_back(record.address);
    }
    members_before_self += node < self_.node ? 1 : 0;
  }
  view.is_publisher = members_before_self == 0;
  policy_table_.set_watcher(context, members_before_self < kWatchersPerDomain);
  return view;
}

std::vector<node_address> membership::KnownSeeds() const {
  std::vector<node_address> known = seed_discovery_.addresses();
  known.insert(known.end(), seeds_.begin(), seeds_.end());
  return known;
}

}  // namespace auburnfold
