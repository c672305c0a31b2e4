#include "LibDecision/Membership/membership.h"

#include <algorithm>
#include <chrono>
#include <tuple>

namespace auburnfold {

namespace {

constexpr duration kAnnounceInterval = std::chrono::seconds(1);

auto AgeOf(const member_record& record) {
  return std::tuple(record.run, record.version, record.state);
}

}  // namespace

void membership::Start(step& now, const node_started& self) {
  self_.node = self.node;
  self_.run = self.run;
  self_.address = self.address;
  self_.domain = self.domain;
  seeds_ = self.seeds;
  members_[self_.node] = self_;
  now.Emit(keep_neighbours{seeds_});
  now.timers().Subscribe({timer_owner::kMembership},
                         now.now() + kAnnounceInterval);
}

void membership::OnEndpointReported(step& now,
                                    const endpoint_reported& report) {
  const member_state state = report.state == endpoint_state::kReady
                                 ? member_state::kReady
                                 : member_state::kLeaving;
  if (self_.service == report.service && self_.state == state) {
    return;
  }
  self_.service = report.service;
  self_.state = state;
  Announce(now);
}

void membership::OnStopRequested(step& now) {
  self_.state = member_state::kLeaving;
  Announce(now);
}

void membership::OnMessage(step& now, const peer_message& message) {
  if (const auto* update = std::get_if<member_update>(&message.content)) {
    for (const member_record& record : update->records) {
      Take(now, record);
    }
  }
}

void membership::OnStoreAnswered(step&, const store_answered&) {}

// FIXME: Every node tells its seeds all it knows each second; the cost grows
// with the number of nodes.
void membership::OnTimer(step& now, std::uint64_t) {
  member_update update;
  for (const auto& [node, record] : members_) {
    update.records.push_back(record);
  }
  for (const node_address& seed : seeds_) {
    now.Count(counter::kMessagesSent);
    now.Emit(
        send_message{seed, {self_.node, self_.run, self_.address, update}});
  }
  now.timers().Subscribe({timer_owner::kMembership},
                         now.now() + kAnnounceInterval);
}

bool membership::Take(step& now, const member_record& record) {
  const auto found = members_.find(record.node);
  if (found != members_.end() && AgeOf(found->second) >= AgeOf(record)) {
    now.Count(counter::kOldRecordsIgnored);
    return false;
  }
  members_.insert_or_assign(record.node, record);
  return true;
}

std::vector<const member_record*> membership::ReadyEndpoints(
    const service_name& service) const {
  std::vector<const member_record*> ready;
  for (const auto& [node, record] : members_) {
    if (record.service == service && record.state == member_state::kReady) {
      ready.push_back(&record);
    }
  }
  std::sort(ready.begin(), ready.end(),
            [](const member_record* left, const member_record* right) {
              return left->node < right->node;
            });
  return ready;
}

const member_record* membership::Find(node_id node) const {
  const auto found = members_.find(node);
  return found == members_.end() ? nullptr : &found->second;
}

bool membership::has_service(const service_name& service) const {
  return std::any_of(members_.begin(), members_.end(),
                     [&service](const auto& entry) {
                       return entry.second.service == service;
                     });
}

void membership::Announce(step&) {
  ++self_.version;
  members_.insert_or_assign(self_.node, self_);
}

}  // namespace auburnfold
