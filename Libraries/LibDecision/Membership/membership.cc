#include "LibDecision/Membership/membership.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include "LibDecision/Membership/overlay.h"

namespace auburnfold {

namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr duration kSeedsInterval = seconds(10);
constexpr duration kGoneInterval = seconds(5);
constexpr duration kGoneMemory = hours(2);
// A node that finds neither the key-value service nor a peer that knows the
// table goes to work without it.
constexpr duration kSyncPatience = seconds(5);
constexpr duration kFreshness = seconds(10);
constexpr std::size_t kRecordsPassedOnWhenFresh = 8;
constexpr std::size_t kSeedsAskedAtOnce = 3;
constexpr std::size_t kWatchersPerDomain = 2;
constexpr std::size_t kAddressesPerDomain = 3;

}  // namespace

void membership::Start(event_context& context, const node_started& self) {
  self_.node = self.node;
  self_.run = self.run;
  self_.address = self.address;
  self_.domain = self.domain;
  seeds_ = self.seeds;
  started_ = context.now();
  list_.Take(self_);
  if (discovery_ == discovery_mode::kRegistry) {
    return;
  }
  gossip_.set_self(self_);
  gossip_.UpdateNeighbours(context, seeds_);
  rendezvous_.Start(context, LookAround(context));
  AskSeeds(context);
  context.timers().Schedule(
      {timer_owner::kMembership},
      context.now() + failure_detector::kHeartbeatInterval);
}

void membership::OnEndpointReported(event_context&,
                                    const endpoint_reported& report) {
  self_.service = report.service;
  self_.slots = report.slots;
  endpoint_ = report.state;
  Announce();
}

void membership::SetDraining(event_context&, bool is_draining) {
  is_draining_ = is_draining;
  Announce();
}

void membership::Describe(event_context& context, admin_result& result) const {
  for (const auto& [node, record] : list_.members()) {
    result.members.push_back(record);
  }
  for (const auto& [node, record] : list_.gone()) {
    result.members.push_back(record);
  }
  gossip_.CountPeers(context.now(), result);
}

void membership::OnStopRequested(event_context&) {
  is_stopping_ = true;
  Announce();
}

void membership::OnStopped(event_context& context) {
  self_.state = member_state::kGone;
  ++self_.version;
  if (discovery_ == discovery_mode::kRegistry) {
    return;
  }
  gossip_.set_self(self_);
  if (is_published_) {
    gossip_.Spread(self_, self_.node);
  }
  gossip_.FlushAll(context);
}

void membership::OnMessage(event_context& context,
                           const peer_message& message) {
  if (message.from == self_.node) {
    return;
  }
  detector_.OnHeard(context.now(), message.from);
  if (const auto* beat = std::get_if<heartbeat>(&message.content)) {
    return OnHeartbeat(context, message, *beat);
  }
  if (const auto* update = std::get_if<member_update>(&message.content)) {
    return OnUpdate(context, message.from, *update);
  }
  if (const auto* theirs = std::get_if<bucket_digests>(&message.content)) {
    return gossip_.OnDigests(context, message, *theirs);
  }
  if (const auto* wanted = std::get_if<bucket_request>(&message.content)) {
    // A request for nothing asks whether this node lives.
    const bool is_probe = wanted->members.empty() && wanted->rows.empty();
    if (is_probe) {
      return gossip_.Send(context, message.from_address, gossip_.Heartbeat());
    }
    gossip_.OnRequest(context, message, *wanted);
  }
}

void membership::OnHeartbeat(event_context& context,
                             const peer_message& message,
                             const heartbeat& theirs) {
  if (theirs.table_digest != 0) {
    rows_.OnPeerDigest(theirs.table_digest);
  }
  const member_record* held = list_.Find(message.from);
  const bool is_thought_gone = held != nullptr &&
                               held->state == member_state::kGone &&
                               held->run >= message.from_run;
  if (is_thought_gone) {
    gossip_.Send(context, message.from_address, member_update{{*held}});
  }
  gossip_.OnHeartbeat(context, message, theirs);
}

void membership::OnStoreAnswered(event_context& context,
                                 const store_answered& answer) {
  const bool had_addresses = !rendezvous_.addresses().empty();
  rendezvous_.OnStoreAnswered(context, answer);
  const bool has_news = !had_addresses && !rendezvous_.addresses().empty();
  if (has_news && list_.members().size() == 1) {
    AskSeeds(context);
  }
}

void membership::OnTimer(event_context& context, std::uint64_t) {
  context.timers().Schedule(
      {timer_owner::kMembership},
      context.now() + failure_detector::kHeartbeatInterval);
  JudgeSilence(context);
  const rendezvous_view view = LookAround(context);
  gossip_.UpdateNeighbours(context, KnownSeeds());
  gossip_.SendHeartbeats(context);
  rendezvous_.OnTick(context, view);
  const bool is_joining = view.is_alone || !is_published_;
  if (is_joining || context.now() - seeds_asked_ >= kSeedsInterval) {
    AskSeeds(context);
  }
  if (context.now() - gone_asked_ >= kGoneInterval) {
    AskOneOfTheGone(context);
    ForgetLongGone(context);
  }
}

void membership::SpreadChanges(event_context& context) {
  if (discovery_ == discovery_mode::kRegistry) {
    rows_.TakeChanged();
    return;
  }
  PublishIfSynced(context);
  gossip_.SpreadRows(context, rows_.TakeChanged());
  gossip_.Flush(context);
}

bool membership::Take(event_context& context, const member_record& record) {
  const member_record* held = list_.Find(record.node);
  const bool was_gone = held != nullptr && held->state == member_state::kGone;
  const bool was_ready = held != nullptr && held->state == member_state::kReady;
  const bool is_same_run = held != nullptr && held->run == record.run;
  if (!list_.Take(record)) {
    context.Count(counter::kOldRecordsIgnored);
    return false;
  }
  if (record.state == member_state::kGone) {
    gone_since_[record.node] = context.now();
    if (was_ready) {
      losses_.Note(context.now(), list_.members().size());
    }
    return true;
  }
  gone_since_.erase(record.node);
  if (was_gone && is_same_run) {
    detector_.OnRefuted(record.node);
  }
  return true;
}

void membership::Replace(event_context& context, const member_record& record) {
  const member_record* held = list_.Find(record.node);
  if (held == nullptr || *held != record) {
    list_.Replace(record);
    context.Count(counter::kMemberChanges);
  }
}

std::vector<const member_record*> membership::ReadyEndpoints(
    const service_name& service) const {
  return list_.Ready(service);
}

const member_record* membership::Find(node_id node) const {
  return list_.Find(node);
}

bool membership::has_service(const service_name& service) const {
  return list_.has_service(service);
}

// The own list changes at once, so that this node's own calls see it; the
// others are told when this node knows the table.
void membership::Announce() {
  const bool is_leaving =
      is_draining_ || is_stopping_ || endpoint_ != endpoint_state::kReady;
  const member_state state =
      is_leaving ? member_state::kLeaving : member_state::kReady;
  const member_record* held = list_.Find(self_.node);
  const bool is_known = held->service == self_.service &&
                        held->slots == self_.slots && held->state == state;
  if (is_known) {
    return;
  }
  self_.state = state;
  ++self_.version;
  list_.Take(self_);
  gossip_.set_self(self_);
  if (is_published_) {
    gossip_.Spread(self_, self_.node);
  }
}

void membership::PublishIfSynced(event_context& context) {
  if (is_published_) {
    return;
  }
  const bool has_waited = context.now() - started_ >= kSyncPatience;
  const bool is_ready =
      rows_.is_synced() || (has_waited && rows_.is_store_unavailable());
  if (!is_ready) {
    return;
  }
  is_published_ = true;
  gossip_.UpdateNeighbours(context, KnownSeeds());
  gossip_.Spread(self_, self_.node);
}

// What a fresh node learns in bulk, the others know already.
void membership::OnUpdate(event_context& context,
                          node_id from,
                          const member_update& update) {
  const bool is_fresh = context.now() - started_ < kFreshness;
  const bool is_passed_on =
      !is_fresh || update.records.size() <= kRecordsPassedOnWhenFresh;
  for (const member_record& record : update.records) {
    if (TakeFrom(context, record, from) && is_passed_on) {
      gossip_.Spread(record, from);
    }
  }
}

// Returns whether the record was news of another node.
bool membership::TakeFrom(event_context& context,
                          const member_record& record,
                          node_id from) {
  if (record.node == self_.node) {
    if (IsNewer(record, self_)) {
      Refute(record);
    }
    return false;
  }
  if (Take(context, record)) {
    return true;
  }
  const member_record* held = list_.Find(record.node);
  const bool is_behind = record.node == from && IsNewer(*held, record);
  if (is_behind) {
    gossip_.Send(context, record.address, member_update{{*held}});
  }
  return false;
}

// Others hold something newer about this node: that it is gone, or the record
// of an earlier process whose clock was ahead. What this node says goes on
// top of it.
void membership::Refute(const member_record& rumour) {
  if (self_.state == member_state::kGone) {
    return;
  }
  if (rumour.run > self_.run) {
    self_.run = incarnation(rumour.run.value() + 1);
  }
  self_.version = std::max(self_.version, rumour.version) + 1;
  list_.Take(self_);
  gossip_.set_self(self_);
  gossip_.Spread(self_, self_.node);
}

void membership::JudgeSilence(event_context& context) {
  const silence_report report =
      detector_.Check(context, WatchedBy(list_, self_.node));
  for (const node_id& node : report.to_probe) {
    gossip_.Send(context, list_.Find(node)->address, bucket_request{});
  }
  for (const node_id& node : report.dead) {
    if (losses_.is_open(context.now(), list_.members().size())) {
      DeclareGone(context, node);
    }
  }
}

void membership::DeclareGone(event_context& context, node_id node) {
  member_record record = *list_.Find(node);
  record.state = member_state::kGone;
  Take(context, record);
  context.Count(counter::kMembersFoundDead);
  gossip_.Spread(record, self_.node);
}

void membership::AskSeeds(event_context& context) {
  seeds_asked_ = context.now();
  std::vector<node_address> unknown = KnownSeeds();
  const bool is_joining = list_.members().size() == 1 || !is_published_;
  std::erase_if(unknown, [&](const node_address& address) {
    const auto& members = list_.members();
    const bool is_member = std::any_of(
        members.begin(), members.end(),
        [&](const auto& entry) { return entry.second.address == address; });
    return address == self_.address || (is_member && !is_joining);
  });
  for (std::size_t asked = 0; asked < kSeedsAskedAtOnce && !unknown.empty();
       ++asked) {
    const auto chosen =
        unknown.begin() +
        static_cast<std::ptrdiff_t>(context.RandomBelow(unknown.size()));
    gossip_.Send(context, *chosen, bucket_request{});
    unknown.erase(chosen);
  }
}

// After a cut has healed, somebody must ask first.
void membership::AskOneOfTheGone(event_context& context) {
  gone_asked_ = context.now();
  const auto& gone = list_.gone();
  if (gone.empty()) {
    return;
  }
  const auto chosen =
      std::next(gone.begin(),
                static_cast<std::ptrdiff_t>(context.RandomBelow(gone.size())));
  gossip_.Send(context, chosen->second.address, gossip_.Heartbeat());
}

void membership::ForgetLongGone(event_context& context) {
  for (auto each = gone_since_.begin(); each != gone_since_.end();) {
    if (context.now() - each->second < kGoneMemory) {
      ++each;
      continue;
    }
    list_.Forget(each->first);
    each = gone_since_.erase(each);
  }
}

rendezvous_view membership::LookAround(event_context& context) {
  rendezvous_view view{.domain = self_.domain,
                       .is_alone = list_.members().size() == 1};
  std::size_t before_self = 0;
  for (const auto& [node, record] : list_.members()) {
    if (record.domain != self_.domain) {
      continue;
    }
    if (view.wanted.size() < kAddressesPerDomain) {
      view.wanted.push_back(record.address);
    }
    before_self += node < self_.node ? 1 : 0;
  }
  view.is_keeper = before_self == 0;
  rows_.set_watcher(context, before_self < kWatchersPerDomain);
  return view;
}

std::vector<node_address> membership::KnownSeeds() const {
  std::vector<node_address> known = rendezvous_.addresses();
  known.insert(known.end(), seeds_.begin(), seeds_.end());
  return known;
}

}  // namespace auburnfold
