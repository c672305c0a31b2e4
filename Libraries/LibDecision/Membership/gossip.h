#ifndef LIBDECISION_MEMBERSHIP_GOSSIP_H_
#define LIBDECISION_MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/byte_budget.h"
#include "LibDecision/Membership/member_list.h"
#include "LibDecision/Table/policy_table.h"
#include "LibDecision/admin_call.h"
#include "LibDecision/event_context.h"
#include "LibDecision/peer_message.h"

namespace auburnfold {

/// Replicates member records and table rows to every node. Each node forwards
/// a change once to all its neighbours, and anti-entropy repairs copies whose
/// digests differ. Broadcasts of records and repairs are limited by byte
/// budgets.
class gossip {
 public:
  using message_content = decltype(peer_message::content);

  gossip(const member_list& list, const policy_table& table)
      : member_list_(list), policy_table_(table) {}

  /// Sets the sender of all further messages.
  void set_self(const member_record& self) { self_ = self; }
  /// Recomputes the neighbours from the member list. Adds `seeds` while there
  /// are too few.
  void UpdateNeighbours(event_context& context,
                        const std::vector<node_address>& seeds);

  /// Sends `record` to all neighbours but `from` at the next `Flush`.
  void QueueBroadcast(const member_record& record, node_id from);
  void BroadcastRows(event_context& context,
                     const std::vector<table_row>& rows);
  /// Sends queued records as far as the byte budget allows.
  void Flush(event_context& context);
  /// Sends all queued records, for the last messages before the process ends.
  void FlushIgnoringBudget(event_context& context);

  /// Fills in how many peers sent a heartbeat lately, and how many of them hold
  /// the same rows as this node.
  void FillPeerCounts(instant now, admin_result& result) const;

  void SendHeartbeats(event_context& context);
  void Send(event_context& context,
            const node_address& to,
            message_content content);
  /// A heartbeat with the current digests of this node.
  heartbeat Heartbeat() const;

  void OnHeartbeat(event_context& context,
                   const peer_message& message,
                   const heartbeat& theirs);
  void OnBucketDigests(event_context& context,
                       const peer_message& message,
                       const bucket_digests& theirs);
  void OnBucketRequest(event_context& context,
                       const peer_message& message,
                       const bucket_request& request);

 private:
  // Together with the heartbeats, these rates use half of a node's bandwidth
  // for control traffic. Incoming messages take the other half.
  static constexpr double kBroadcastBytesPerSecond = 3000;
  static constexpr double kBroadcastBurstBytes = 64 << 10;
  static constexpr double kRepairBytesPerSecond = 1500;
  static constexpr double kRepairBurstBytes = 256 << 10;

  struct pending_record {
    member_record record;
    node_id from;
  };

  struct peer_digest {
    std::uint64_t table_digest = 0;
    instant received_at{};
  };

  void SendBatch(event_context& context);
  void SendRecords(event_context& context,
                   const node_address& to,
                   const std::vector<std::uint16_t>& buckets);
  void SendRows(event_context& context,
                const node_address& to,
                const std::vector<std::uint16_t>& buckets);
  void SendRepair(event_context& context,
                  const node_address& to,
                  message_content content,
                  std::uint64_t bytes);

  const member_list& member_list_;
  const policy_table& policy_table_;
  member_record self_;
  std::vector<node_id> neighbours_;
  std::vector<node_address> neighbour_addresses_;
  std::map<node_id, pending_record> pending_;
  /// Consecutive heartbeats per sender whose digests differ from this node's.
  std::unordered_map<node_id, int> mismatches_;
  std::unordered_map<node_id, peer_digest> peer_digests_;
  byte_budget broadcast_budget_{kBroadcastBytesPerSecond, kBroadcastBurstBytes};
  byte_budget repair_budget_{kRepairBytesPerSecond, kRepairBurstBytes};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_GOSSIP_H_
