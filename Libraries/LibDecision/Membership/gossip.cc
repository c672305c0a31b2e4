#include "LibDecision/Membership/gossip.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibDecision/Membership/overlay.h"

namespace auburnfold {

namespace {

// Approximate encoded sizes of a message's envelope, a record, a row and a
// digest.
constexpr std::uint64_t kMessageBytes = 90;
constexpr std::uint64_t kRecordBytes = 110;
constexpr std::uint64_t kRowBytes = 160;
constexpr std::uint64_t kDigestBytes = 9;
constexpr std::size_t kRecordsPerMessage = 64;
constexpr std::size_t kRowsPerMessage = 64;
// A single mismatch may only mean that a change is still on its way.
constexpr int kMismatchesBeforeRepair = 2;
constexpr duration kPeerDigestLifetime = std::chrono::milliseconds(3500);
constexpr std::size_t kMaxTrackedMismatches = 64;
constexpr std::size_t kMinNeighbours = 3;

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

// Starts at a random bucket, so that responses which the budget truncates do
// not always cover the same buckets.
std::vector<std::uint16_t> RotatedRandomly(event_context& context,
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
  neighbours_ = NeighboursOf(member_list_, self_.node);
  std::vector<node_address> addresses;
  for (const node_id& node : neighbours_) {
    addresses.push_back(member_list_.Find(node)->address);
  }
  if (addresses.size() < kMinNeighbours) {
    for (const node_address& seed : seeds) {
      const bool is_new = seed != self_.address &&
                          std::find(addresses.begin(), addresses.end(), seed) ==
                              addresses.end();
      if (is_new) {
        addresses.push_back(seed);
      }
    }
  }
  if (mismatches_.size() > kMaxTrackedMismatches) {
    mismatches_.clear();
  }
  std::erase_if(peer_digests_, [&context](const auto& entry) {
    return context.now() - entry.second.received_at > kPeerDigestLifetime;
  });
  if (addresses != neighbour_addresses_) {
    neighbour_addresses_ = std::move(addresses);
    context.Emit(set_neighbours{neighbour_addresses_});
  }
}

void gossip::QueueBroadcast(const member_record& record, node_id from) {
  pending_.insert_or_assign(record.node, pending_record{record, from});
}

// Rows bypass the byte budget: they are few and must take effect at once.
void gossip::BroadcastRows(event_context& context,
                           const std::vector<table_row>& rows) {
  for (std::size_t first = 0; first < rows.size(); first += kRowsPerMessage) {
    const std::size_t end = std::min(rows.size(), first + kRowsPerMessage);
    const row_update update{{rows.begin() + static_cast<std::ptrdiff_t>(first),
                             rows.begin() + static_cast<std::ptrdiff_t>(end)}};
    for (const node_address& address : neighbour_addresses_) {
      Send(context, address, update);
    }
  }
}

void gossip::Flush(event_context& context) {
  while (!pending_.empty() && broadcast_budget_.CanSend(context.now())) {
    SendBatch(context);
  }
}

void gossip::FlushIgnoringBudget(event_context& context) {
  while (!pending_.empty()) {
    SendBatch(context);
  }
}

// Records of nodes that are not ready go first, because other nodes must stop
// sending requests to them.
void gossip::SendBatch(event_context& context) {
  std::vector<pending_record> batch;
  const auto move_to_batch = [&](bool is_urgent) {
    for (auto each = pending_.begin();
         each != pending_.end() && batch.size() < kRecordsPerMessage;) {
      const bool is_ready = each->second.record.state == member_state::kReady;
      if (is_ready == is_urgent) {
        ++each;
        continue;
      }
      batch.push_back(each->second);
      each = pending_.erase(each);
    }
  };
  move_to_batch(true);
  move_to_batch(false);
  for (const node_address& address : neighbour_addresses_) {
    member_update update;
    for (const pending_record& each : batch) {
      const member_record* from = member_list_.Find(each.from);
      const bool is_sender = from != nullptr && each.from != self_.node &&
                             from->address == address;
      if (!is_sender) {
        update.records.push_back(each.record);
      }
    }
    if (!update.records.empty()) {
      broadcast_budget_.Spend(kMessageBytes +
                              kRecordBytes * update.records.size());
      Send(context, address, std::move(update));
    }
  }
}

void gossip::SendHeartbeats(event_context& context) {
  const heartbeat beat = Heartbeat();
  for (const node_address& address : neighbour_addresses_) {
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

// A table digest of 0 tells peers that this node is not synced yet.
heartbeat gossip::Heartbeat() const {
  return {.member_digest = member_list_.digest(),
          .table_digest =
              policy_table_.is_synced() ? policy_table_.rows().digest() : 0};
}

void gossip::FillPeerCounts(instant now, admin_result& result) const {
  for (const auto& [node, peer] : peer_digests_) {
    if (now - peer.received_at <= kPeerDigestLifetime) {
      ++result.peers_heard;
      result.peers_in_sync +=
          peer.table_digest == policy_table_.rows().digest() ? 1 : 0;
    }
  }
}

void gossip::OnHeartbeat(event_context& context,
                         const peer_message& message,
                         const heartbeat& theirs) {
  peer_digests_[message.from] = {theirs.table_digest, context.now()};
  const bool is_in_sync = theirs.member_digest == member_list_.digest() &&
                          theirs.table_digest == policy_table_.rows().digest();
  if (is_in_sync) {
    mismatches_.erase(message.from);
    return;
  }
  const bool is_unknown_node = member_list_.Find(message.from) == nullptr;
  const int mismatches_needed = is_unknown_node || !policy_table_.is_synced()
                                    ? 1
                                    : kMismatchesBeforeRepair;
  int& mismatches_seen = mismatches_[message.from];
  ++mismatches_seen;
  if (mismatches_seen < mismatches_needed ||
      !repair_budget_.CanSend(context.now())) {
    return;
  }
  mismatches_seen = 0;
  bucket_digests digests{member_list_.bucket_digests(),
                         policy_table_.rows().bucket_digests()};
  const std::size_t count = digests.members.size() + digests.rows.size();
  SendRepair(context, message.from_address, std::move(digests),
             kDigestBytes * count);
}

// Both sides send their contents of the differing buckets, because digests do
// not tell which side is outdated.
void gossip::OnBucketDigests(event_context& context,
                             const peer_message& message,
                             const bucket_digests& theirs) {
  const auto members = RotatedRandomly(
      context, DifferingBuckets(member_list_.bucket_digests(), theirs.members));
  const auto rows = RotatedRandomly(
      context,
      DifferingBuckets(policy_table_.rows().bucket_digests(), theirs.rows));
  if (members.empty() && rows.empty()) {
    return;
  }
  SendRows(context, message.from_address, rows);
  SendRecords(context, message.from_address, members);
  const std::size_t count = members.size() + rows.size();
  SendRepair(context, message.from_address, bucket_request{members, rows},
             kDigestBytes * count);
}

void gossip::OnBucketRequest(event_context& context,
                             const peer_message& message,
                             const bucket_request& request) {
  SendRows(context, message.from_address, request.rows);
  SendRecords(context, message.from_address, request.members);
}

void gossip::SendRecords(event_context& context,
                         const node_address& to,
                         const std::vector<std::uint16_t>& buckets) {
  member_update update;
  const auto flush_update = [&] {
    const std::uint64_t bytes = kRecordBytes * update.records.size();
    SendRepair(context, to, std::exchange(update, {}), bytes);
  };
  for (const std::uint16_t bucket : buckets) {
    if (bucket >= member_list::kBucketCount ||
        !repair_budget_.CanSend(context.now())) {
      break;
    }
    const auto records = member_list_.RecordsInBucket(bucket);
    update.records.insert(update.records.end(), records.begin(), records.end());
    if (update.records.size() >= kRecordsPerMessage) {
      flush_update();
    }
  }
  if (!update.records.empty()) {
    flush_update();
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
    const auto rows = policy_table_.rows().RowsInBucket(bucket);
    update.rows.insert(update.rows.end(), rows.begin(), rows.end());
  }
  if (!update.rows.empty()) {
    const std::uint64_t bytes = kRowBytes * update.rows.size();
    SendRepair(context, to, std::move(update), bytes);
  }
}

void gossip::SendRepair(event_context& context,
                        const node_address& to,
                        message_content content,
                        std::uint64_t bytes) {
  repair_budget_.Spend(kMessageBytes + bytes);
  Send(context, to, std::move(content));
}

}  // namespace auburnfold
