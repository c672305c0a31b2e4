#include "LibDecision/Quarantine/quarantine.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "LibDecision/Quarantine/crash_codec.h"
#include "LibDecision/Store/backoff.h"
#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;

// Nodes that miss a record write it at different times, so that most of them
// see that another one has written it.
constexpr duration kMaxPublishDelay = std::chrono::seconds(2);
// A record that ends this soon is not written again.
constexpr duration kMinTimeLeftToPublish = std::chrono::seconds(30);
// A crash is usually known from the store by then. Nodes whose records expire
// at different times differ for a while, so the delay grows with each view that
// brings nothing new.
constexpr backoff_policy kViewDelay{milliseconds(500), std::chrono::seconds(30),
                                    6};

}  // namespace

void quarantine::Start(const node_started& self) {
  node_ = self.node;
  run_ = self.run;
}

void quarantine::OnCrash(event_context& context,
                         std::vector<request_digest> suspects) {
  suspects = ledger_.WithoutAnswered(std::move(suspects));
  std::sort(suspects.begin(), suspects.end());
  suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
  if (suspects.empty()) {
    return;
  }
  const crash_id id(
      MixBits(MixBits(node_.value() ^ MixBits(run_.value())) + ++crash_count_));
  Add(context, {id, std::move(suspects), kCrashLifetime});
  if (uses_store_) {
    publisher_.Publish(context, id, duration::zero());
  }
}

// Only what others may act on is worth a write: a request that was at work
// during one crash is treated like any other.
void quarantine::OnAnswered(event_context& context, request_digest digest) {
  const crash_verdict verdict = ledger_.VerdictOn(digest);
  const std::set<request_digest> before = ledger_.quarantined();
  const std::vector<crash_id> cleared =
      ledger_.OnAnswered(context.now(), digest);
  if (cleared.empty()) {
    return;
  }
  LogChanges(context, before);
  if (verdict < crash_verdict::kIsolated) {
    return;
  }
  for (const crash_id crash : cleared) {
    PublishSoon(context, crash);
  }
}

void quarantine::OnRefused(event_context& context, request_digest digest) {
  context.Count(counter::kRefusedByQuarantine);
  for (const crash_id crash : ledger_.Extend(context.now(), digest)) {
    PublishSoon(context, crash);
  }
  ScheduleExpiry(context);
}

void quarantine::OnStoreEntries(event_context& context,
                                const prefix_update& update) {
  std::set<crash_id> listed;
  for (const unreadable_entry& entry : update.unreadable) {
    if (const auto crash = ParseCrashKey(entry.key)) {
      listed.insert(*crash);
      OnUnreadable(context, *crash, entry.revision);
    }
  }
  for (const store_entry& entry : update.entries) {
    const std::optional<crash_id> crash = ParseCrashKey(entry.key);
    if (!crash) {
      continue;
    }
    if (entry.is_removed) {
      OnRemoved(context, *crash);
    } else if (const auto record = DecodeCrash(entry.key, entry.value)) {
      listed.insert(*crash);
      Add(context, *record);
      publisher_.OnStored(context.now(), *record, entry.revision);
    } else {
      listed.insert(*crash);
      OnUnreadable(context, *crash, entry.revision);
    }
  }
  if (!update.is_listing) {
    return;
  }
  for (const crash_record& record : ledger_.Records(context.now())) {
    if (!listed.contains(record.id)) {
      OnRemoved(context, record.id);
    }
  }
}

// The lease has ended with the record's lifetime, or the store has lost it.
void quarantine::OnRemoved(event_context& context, crash_id crash) {
  publisher_.OnMissing(crash);
  Restore(context, crash);
}

// Another writer left something else under the key.
void quarantine::OnUnreadable(event_context& context,
                              crash_id crash,
                              store_revision revision) {
  publisher_.OnUnreadable(crash, revision);
  Restore(context, crash);
}

void quarantine::Restore(event_context& context, crash_id crash) {
  const crash_record known = ledger_.RecordOf(context.now(), crash);
  if (known.time_left >= kMinTimeLeftToPublish) {
    return PublishSoon(context, crash);
  }
  ledger_.Remove(crash);
}

void quarantine::OnTimer(event_context& context, timer_owner owner) {
  if (owner == timer_owner::kCrashRecords) {
    return publisher_.OnTimer(context);
  }
  if (owner == timer_owner::kCrashExpiry) {
    ledger_.Expire(context.now());
    return ScheduleExpiry(context);
  }
  const auto peer = std::exchange(differing_peer_, std::nullopt);
  if (peer && peer->checksum != ledger_.checksum()) {
    ++useless_views_;
    context.Emit(request_view{peer->peer});
  }
}

void quarantine::OnPeerChecksum(event_context& context,
                                std::uint64_t checksum,
                                const node_address& peer) {
  const bool has_more = checksum != 0 && checksum != ledger_.checksum();
  if (!has_more || peer.host.empty() || differing_peer_) {
    return;
  }
  differing_peer_ = {checksum, peer};
  context.timers().Schedule(
      {timer_owner::kCrashViews},
      context.now() + BackoffDelay(context, kViewDelay, useless_views_));
}

void quarantine::OnPeerView(event_context& context,
                            const std::vector<crash_record>& records) {
  for (const crash_record& record : records) {
    if (Add(context, record)) {
      useless_views_ = 0;
    }
  }
}

bool quarantine::Add(event_context& context, const crash_record& record) {
  const std::set<request_digest> before = ledger_.quarantined();
  const bool is_changed = ledger_.Add(context.now(), record);
  LogChanges(context, before);
  ScheduleExpiry(context);
  return is_changed;
}

void quarantine::ScheduleExpiry(event_context& context) {
  if (const std::optional<instant> next = ledger_.next_expiry()) {
    context.timers().Schedule({timer_owner::kCrashExpiry}, *next);
  }
}

void quarantine::LogChanges(event_context& context,
                            const std::set<request_digest>& before) {
  const std::set<request_digest>& after = ledger_.quarantined();
  for (const request_digest digest : after) {
    if (!before.contains(digest)) {
      context.Log(
          {.kind = decision_kind::kRequestQuarantined, .digest = digest});
    }
  }
  for (const request_digest digest : before) {
    if (!after.contains(digest)) {
      context.Log({.kind = decision_kind::kRequestReleased, .digest = digest});
    }
  }
}

void quarantine::PublishSoon(event_context& context, crash_id crash) {
  if (uses_store_) {
    const auto delay = std::chrono::duration_cast<duration>(
        kMaxPublishDelay * context.RandomFraction());
    publisher_.Publish(context, crash, delay);
  }
}

}  // namespace auburnfold
