#ifndef LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_
#define LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_

#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/failure_detector.h"
#include "LibDecision/Membership/gossip.h"
#include "LibDecision/Membership/loss_budget.h"
#include "LibDecision/Membership/member_list.h"
#include "LibDecision/Membership/rendezvous.h"
#include "LibDecision/Table/table.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/member_record.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// What this node knows about all others, and tells them about its endpoint.
class membership {
 public:
  membership(table& rows, discovery_mode discovery)
      : rows_(rows), discovery_(discovery) {}
  membership(const membership&) = delete;
  membership& operator=(const membership&) = delete;

  void Start(event_context& context, const node_started& self);
  void OnEndpointReported(event_context& context,
                          const endpoint_reported& report);
  /// Takes the own endpoint out of service, or back in.
  void SetDraining(event_context& context, bool is_draining);
  /// Answers questions for the members and for the peers' rows.
  void Describe(event_context& context, admin_result& result) const;
  void OnStopRequested(event_context& context);
  /// The process ends: says so to the neighbours.
  void OnStopped(event_context& context);
  void OnMessage(event_context& context, const peer_message& message);
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  void OnTimer(event_context& context, std::uint64_t key);
  /// Sends what the event changed. Called last in every step.
  void SpreadChanges(event_context& context);

  /// Takes `record` if it is newer than the copy held. Returns whether it was.
  bool Take(event_context& context, const member_record& record);

  /// Takes what the registry holds, whatever copy is held.
  void Replace(event_context& context, const member_record& record);

  /// Every node whose endpoint offers `service` and is ready, by id. Pointers
  /// last until the next event.
  std::vector<const member_record*> ReadyEndpoints(
      const service_name& service) const;
  /// The record of `node`; nothing if it is not known.
  const member_record* Find(node_id node) const;
  bool has_service(const service_name& service) const;
  const member_record& self() const { return self_; }
  const member_list& list() const { return list_; }

 private:
  void Announce();
  void PublishIfSynced(event_context& context);
  void OnUpdate(event_context& context,
                node_id from,
                const member_update& update);
  bool TakeFrom(event_context& context,
                const member_record& record,
                node_id from);
  void Refute(const member_record& rumour);
  void OnHeartbeat(event_context& context,
                   const peer_message& message,
                   const heartbeat& theirs);
  void JudgeSilence(event_context& context);
  void DeclareGone(event_context& context, node_id node);
  void AskSeeds(event_context& context);
  void AskOneOfTheGone(event_context& context);
  void ForgetLongGone(event_context& context);
  rendezvous_view LookAround(event_context& context);
  std::vector<node_address> KnownSeeds() const;

  table& rows_;
  discovery_mode discovery_;
  member_record self_;
  member_list list_;
  gossip gossip_{list_, rows_};
  failure_detector detector_;
  loss_budget losses_;
  rendezvous rendezvous_;
  std::vector<node_address> seeds_;
  std::unordered_map<node_id, instant> gone_since_;
  instant started_{};
  instant seeds_asked_{};
  instant gone_asked_{};
  bool is_published_ = false;
  bool is_draining_ = false;
  bool is_stopping_ = false;
  endpoint_state endpoint_ = endpoint_state::kReady;
};

}  // namespace auburnfold

#endif  // LIBDECISION_MEMBERSHIP_MEMBERSHIP_H_
