#ifndef LIBDECISION_MEMBERSHIP_GOSSIP_H_
#define LIBDECISION_MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/byte_budget.h"
#include "LibDecision/Membership/member_list.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/admin_call.h"
#include "LibDecision/event_context.h"
#include "LibDecision/peer_message.h"

namespace auburnfold {

/// Carries member records and rows to every node: each change is passed on
/// once to all neighbours, and copies whose digests differ are compared and
/// repaired. Both within a byte budget.
class gossip {
 public:
  using message_content = decltype(peer_message::content);

  gossip(const member_list& list, const table& rows)
      : list_(list), rows_(rows) {}

  /// Says who sends, in every message from now on.
  void set_self(const member_record& self) { self_ = self; }
  /// Chooses the neighbours anew from the member list.
  void UpdateNeighbours(event_context& context,
                        const std::vector<node_address>& seeds);

  /// Passes `record` on at the next `Flush`, but not back to `from`.
  void Spread(const member_record& record, node_id from);
  void SpreadRows(event_context& context, const std::vector<table_row>& rows);
  /// Sends what waits, as far as the byte budget allows.
  void Flush(event_context& context);
  /// Sends what waits whatever it costs; for the last message before a stop.
  void FlushAll(event_context& context);

  /// Fills in how many of the peers heard lately hold the same rows.
  void CountPeers(instant now, admin_result& result) const;

  void SendHeartbeats(event_context& context);
  void Send(event_context& context,
            const node_address& to,
            message_content content);
  /// The heartbeat that describes this node now.
  heartbeat Heartbeat() const;

  void OnHeartbeat(event_context& context,
                   const peer_message& message,
                   const heartbeat& theirs);
  void OnDigests(event_context& context,
                 const peer_message& message,
                 const bucket_digests& theirs);
  void OnRequest(event_context& context,
                 const peer_message& message,
                 const bucket_request& wanted);

 private:
  // With the heartbeats, half of what a node may spend: as much comes in.
  static constexpr double kSpreadBytesPerSecond = 3000;
  static constexpr double kSpreadBurstBytes = 64 << 10;
  static constexpr double kRepairBytesPerSecond = 1500;
  static constexpr double kRepairBurstBytes = 256 << 10;

  struct waiting_record {
    member_record record;
    node_id from;
  };

  struct heard_digest {
    std::uint64_t rows = 0;
    instant when{};
  };

  void SendBatch(event_context& context);
  void SendRecords(event_context& context,
                   const node_address& to,
                   const std::vector<std::uint16_t>& buckets);
  void SendRows(event_context& context,
                const node_address& to,
                const std::vector<std::uint16_t>& buckets);
  void SendInBudget(event_context& context,
                    const node_address& to,
                    message_content content,
                    std::uint64_t bytes);

  const member_list& list_;
  const table& rows_;
  member_record self_;
  std::vector<node_id> neighbours_;
  std::vector<node_address> addresses_;
  std::map<node_id, waiting_record> waiting_;
  /// Heartbeats in a row of each neighbour that showed other digests.
  std::unordered_map<node_id, int> mismatches_;
  std::unordered_map<node_id, heard_digest> heard_;
  byte_budget spread_budget_{kSpreadBytesPerSecond, kSpreadBurstBytes};
  byte_budget repair_budget_{kRepairBytesPerSecond, kRepairBurstBytes};
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_GOSSIP_H_
