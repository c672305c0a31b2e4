#include "LibDecision/Membership/gossip.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibDecision/Membership/overlay.h"

namespace auburnfold {

namespace {

// What the codec needs for one message, record, row and digest, about.
constexpr std::uint64_t kMessageBytes = 90;
constexpr std::uint64_t kRecordBytes = 110;
constexpr std::uint64_t kRowBytes = 160;
constexpr std::uint64_t kDigestBytes = 9;
constexpr std::size_t kRecordsPerMessage = 64;
constexpr std::size_t kRowsPerMessage = 64;
// One differing heartbeat may only mean that a change is on its way.
constexpr int kMismatchesBeforeRepair = 2;
constexpr duration kHeardMemory = std::chrono::milliseconds(3500);
constexpr std::size_t kMostMismatches = 64;
constexpr std::size_t kEnoughNeighbours = 3;

std::vector<std::uint16_t> DifferingBuckets(
    const std::vector<std::uint64_t>& ours,
    const std::vector<std::uint64_t>& theirs) {
  std::vector<std::uint16_t> differing;
  if (ours.size() != theirs.size()) {
    return differing;
  }
  for (std::size_t bucket = 0; bucket < ours.size(); ++bucket) {
    if (ours[bucket] != theirs[bucket]) {
      differing.push_back(static_cast<std::uint16_t>(bucket));
    }
  }
  return differing;
}

// Answers that the budget cuts short start at another bucket each time.
std::vector<std::uint16_t> Rotated(event_context& context,
                                   std::vector<std::uint16_t> buckets) {
  if (!buckets.empty()) {
    const auto start =
        static_cast<std::ptrdiff_t>(context.RandomBelow(buckets.size()));
    std::rotate(buckets.begin(), buckets.begin() + start, buckets.end());
  }
  return buckets;
}

}  // namespace

void gossip::UpdateNeighbours(event_context& context,
                              const std::vector<node_address>& seeds) {
  neighbours_ = NeighboursOf(list_, self_.node);
  std::vector<node_address> addresses;
  for (const node_id& node : neighbours_) {
    addresses.push_back(list_.Find(node)->address);
  }
  if (addresses.size() < kEnoughNeighbours) {
    for (const node_address& seed : seeds) {
      const bool is_new = seed != self_.address &&
                          std::find(addresses.begin(), addresses.end(), seed) ==
                              addresses.end();
      if (is_new) {
        addresses.push_back(seed);
      }
    }
  }
  if (mismatches_.size() > kMostMismatches) {
    mismatches_.clear();
  }
  std::erase_if(heard_, [&context](const auto& entry) {
    return context.now() - entry.second.when > kHeardMemory;
  });
  if (addresses != addresses_) {
    addresses_ = std::move(addresses);
    context.Emit(set_neighbours{addresses_});
  }
}

void gossip::Spread(const member_record& record, node_id from) {
  waiting_.insert_or_assign(record.node, waiting_record{record, from});
}

// Rows are few and must be in force at once, so no budget holds them back.
void gossip::SpreadRows(event_context& context,
                        const std::vector<table_row>& rows) {
  for (std::size_t first = 0; first < rows.size(); first += kRowsPerMessage) {
    const std::size_t end = std::min(rows.size(), first + kRowsPerMessage);
    const row_update update{{rows.begin() + static_cast<std::ptrdiff_t>(first),
                             rows.begin() + static_cast<std::ptrdiff_t>(end)}};
    for (const node_address& address : addresses_) {
      Send(context, address, update);
    }
  }
}

void gossip::Flush(event_context& context) {
  while (!waiting_.empty() && spread_budget_.is_open(context.now())) {
    SendBatch(context);
  }
}

void gossip::FlushAll(event_context& context) {
  while (!waiting_.empty()) {
    SendBatch(context);
  }
}

// Callers must hear first of those that take no more work.
void gossip::SendBatch(event_context& context) {
  std::vector<waiting_record> batch;
  const auto take = [&](bool is_urgent) {
    for (auto each = waiting_.begin();
         each != waiting_.end() && batch.size() < kRecordsPerMessage;) {
      const bool is_ready = each->second.record.state == member_state::kReady;
      if (is_ready == is_urgent) {
        ++each;
        continue;
      }
      batch.push_back(each->second);
      each = waiting_.erase(each);
    }
  };
  take(true);
  take(false);
  for (const node_address& address : addresses_) {
    member_update update;
    for (const waiting_record& each : batch) {
      const member_record* from = list_.Find(each.from);
      const bool is_echo = from != nullptr && each.from != self_.node &&
                           from->address == address;
      if (!is_echo) {
        update.records.push_back(each.record);
      }
    }
    if (!update.records.empty()) {
      spread_budget_.Spend(kMessageBytes +
                           kRecordBytes * update.records.size());
      Send(context, address, std::move(update));
    }
  }
}

void gossip::SendHeartbeats(event_context& context) {
  const heartbeat beat = Heartbeat();
  for (const node_address& address : addresses_) {
    Send(context, address, beat);
  }
}

void gossip::Send(event_context& context,
                  const node_address& to,
                  message_content content) {
  context.Count(counter::kMessagesSent);
  context.Emit(send_message{
      to, {self_.node, self_.run, self_.address, std::move(content)}});
}

// A node that has not yet learned the newest rows says so with a digest of 0.
heartbeat gossip::Heartbeat() const {
  return {.member_digest = list_.digest(),
          .table_digest = rows_.is_synced() ? rows_.rows().digest() : 0};
}

void gossip::CountPeers(instant now, admin_result& result) const {
  for (const auto& [node, heard] : heard_) {
    if (now - heard.when <= kHeardMemory) {
      ++result.peers_heard;
      result.peers_in_sync += heard.rows == rows_.rows().digest() ? 1 : 0;
    }
  }
}

void gossip::OnHeartbeat(event_context& context,
                         const peer_message& message,
                         const heartbeat& theirs) {
  heard_[message.from] = {theirs.table_digest, context.now()};
  const bool is_same = theirs.member_digest == list_.digest() &&
                       theirs.table_digest == rows_.rows().digest();
  if (is_same) {
    mismatches_.erase(message.from);
    return;
  }
  const bool is_stranger = list_.Find(message.from) == nullptr;
  const int needed =
      is_stranger || !rows_.is_synced() ? 1 : kMismatchesBeforeRepair;
  int& seen = mismatches_[message.from];
  ++seen;
  if (seen < needed || !repair_budget_.is_open(context.now())) {
    return;
  }
  seen = 0;
  bucket_digests digests{list_.bucket_digests(), rows_.rows().bucket_digests()};
  const std::size_t count = digests.members.size() + digests.rows.size();
  SendInBudget(context, message.from_address, std::move(digests),
               kDigestBytes * count);
}

// Both sides give what they have in the differing buckets: neither can tell
// which of them lacks something.
void gossip::OnDigests(event_context& context,
                       const peer_message& message,
                       const bucket_digests& theirs) {
  const auto members = Rotated(
      context, DifferingBuckets(list_.bucket_digests(), theirs.members));
  const auto rows = Rotated(
      context, DifferingBuckets(rows_.rows().bucket_digests(), theirs.rows));
  if (members.empty() && rows.empty()) {
    return;
  }
  SendRows(context, message.from_address, rows);
  SendRecords(context, message.from_address, members);
  const std::size_t count = members.size() + rows.size();
  SendInBudget(context, message.from_address, bucket_request{members, rows},
               kDigestBytes * count);
}

void gossip::OnRequest(event_context& context,
                       const peer_message& message,
                       const bucket_request& wanted) {
  SendRows(context, message.from_address, wanted.rows);
  SendRecords(context, message.from_address, wanted.members);
}

void gossip::SendRecords(event_context& context,
                         const node_address& to,
                         const std::vector<std::uint16_t>& buckets) {
  member_update update;
  const auto send = [&] {
    const std::uint64_t bytes = kRecordBytes * update.records.size();
    SendInBudget(context, to, std::exchange(update, {}), bytes);
  };
  for (const std::uint16_t bucket : buckets) {
    if (bucket >= member_list::kBucketCount ||
        !repair_budget_.is_open(context.now())) {
      break;
    }
    const auto records = list_.InBucket(bucket);
    update.records.insert(update.records.end(), records.begin(), records.end());
    if (update.records.size() >= kRecordsPerMessage) {
      send();
    }
  }
  if (!update.records.empty()) {
    send();
  }
}

void gossip::SendRows(event_context& context,
                      const node_address& to,
                      const std::vector<std::uint16_t>& buckets) {
  row_update update;
  for (const std::uint16_t bucket : buckets) {
    if (bucket >= row_set::kBucketCount) {
      break;
    }
    const auto rows = rows_.rows().InBucket(bucket);
    update.rows.insert(update.rows.end(), rows.begin(), rows.end());
  }
  if (!update.rows.empty()) {
    const std::uint64_t bytes = kRowBytes * update.rows.size();
    SendInBudget(context, to, std::move(update), bytes);
  }
}

void gossip::SendInBudget(event_context& context,
                          const node_address& to,
                          message_content content,
                          std::uint64_t bytes) {
  repair_budget_.Spend(kMessageBytes + bytes);
  Send(context, to, std::move(content));
}

}  // namespace auburnfold
