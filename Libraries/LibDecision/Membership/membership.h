#ifndef LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_
#define LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_

#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/failure_budget.h"
#include "LibDecision/Membership/failure_detector.h"
#include "LibDecision/Membership/gossip.h"
#include "LibDecision/Membership/member_list.h"
#include "LibDecision/Membership/seed_discovery.h"
#include "LibDecision/Table/policy_table.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/member_record.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// Tracks the state of all other nodes, and publishes the state of this node
/// and its endpoint to them.
class membership {
 public:
  membership(policy_table& table, discovery_mode discovery)
      : policy_table_(table), discovery_(discovery) {}
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;

  void Start(event_context& context, const node_started& self);
  /// `leave` is the leave that the endpoint has announced, if it has.
  void OnEndpointReported(event_context& context,
                          const endpoint_reported& report,
                          const std::optional<endpoint_leave>& leave = {});
  /// Tells what this node knows for certain of the routes.
  void SetProvenRoutes(const proven_routes& routes);
  /// Takes the local endpoint out of service, or back in.
  void SetDraining(event_context& context, bool is_draining);
  /// Fills in the known nodes, and how many peers hold the same rows as this
  /// node.
  void FillAdminResult(event_context& context, admin_result& result) const;
  void OnStopRequested(event_context& context);
  /// Tells the neighbours that this node is gone. Called before the process
  /// ends.
  void OnStopped(event_context& context);
  void OnMessage(event_context& context, const peer_message& message);
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  void OnTimer(event_context& context, std::uint64_t key);
  /// Broadcasts the changes that this event made. Called at the end of every
  /// event.
  void BroadcastChanges(event_context& context);

  /// Applies `record` if it is newer than the local copy. Returns whether it
  /// was.
  bool ApplyIfNewer(event_context& context, const member_record& record);

  /// Applies a record from the registry, even if the local copy is newer.
  void Replace(event_context& context, const member_record& record);

  /// The nodes whose endpoints serve `service` and are ready, ordered by id.
  /// The pointers are valid until the next event.
  std::vector<const member_record*> ReadyEndpoints(
      const service_name& service) const;
  /// The record of `node`; null if unknown.
  const member_record* Find(node_id node) const;
  bool has_service(const service_name& service) const;
  const member_record& self() const { return self_; }
  const member_list& list() const { return member_list_; }

 private:
  void UpdateOwnRecord();
  void PublishIfSynced(event_context& context);
  void OnMemberUpdate(event_context& context,
                      node_id from,
                      const member_update& update);
  bool ApplyUpdateFrom(event_context& context,
                       const member_record& record,
                       node_id from);
  void Refute(const member_record& newer_record);
  void OnHeartbeat(event_context& context,
                   const peer_message& message,
                   const heartbeat& theirs);
  void CheckForFailures(event_context& context);
  void DeclareDead(event_context& context, node_id node);
  void ContactSeeds(event_context& context);
  void ContactRandomGoneNode(event_context& context);
  void DiscardExpiredGoneNodes(event_context& context);
  domain_view UpdateDomainView(event_context& context);
  std::vector<node_address> KnownSeeds() const;

  policy_table& policy_table_;
  discovery_mode discovery_;
  member_record self_;
  member_list member_list_;
  gossip gossip_{member_list_, policy_table_};
  failure_detector failure_detector_;
  failure_budget failure_budget_;
  seed_discovery seed_discovery_;
  std::vector<node_address> seeds_;
  std::unordered_map<node_id, instant> gone_at_;
  instant started_at_{};
  instant seeds_contacted_at_{};
  instant gone_contacted_at_{};
  bool is_published_ = false;
  bool is_draining_ = false;
  bool is_stopping_ = false;
  endpoint_state endpoint_state_ = endpoint_state::kReady;
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_
