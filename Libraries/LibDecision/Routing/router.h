#ifndef LIBDECISION_ROUTING_ROUTER_H_
#define LIBDECISION_ROUTING_ROUTER_H_

#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Routing/attempt_history.h"
#include "LibDecision/Routing/endpoint_view.h"
#include "LibDecision/event_context.h"
#include "LibDecision/member_record.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// Chooses the endpoint for each attempt, from this node's own observations.
class router {
 public:
  explicit router(const membership& members) : members_(members) {}

  /// Chooses an endpoint of `service`, leaving out the nodes that were tried
  /// where another remains. Nothing if none is ready. The result is valid until
  /// the next call.
  const member_record* Choose(event_context& context,
                              const service_name& service,
                              const attempt_history& history);

  void OnSent(event_context& context, const member_record& to);
  void OnFinished(event_context& context,
                  node_id node,
                  const outcome& result,
                  duration elapsed);
  void OnCancelled(event_context& context, node_id node);
  /// When the node beside an endpoint last answered; the origin of time if it
  /// never did.
  instant AnsweredAt(node_id node) const;
  /// Endpoints that the last choice was made from.
  std::size_t candidate_count() const { return candidates_.size(); }
  /// The deadline passed without an answer from `node`.
  void OnUnanswered(event_context& context, node_id node);

 private:
  struct service_view {
    instant refreshed{};
    std::vector<member_record> subset;
  };

  const std::vector<member_record>& SubsetOf(instant now,
                                             const service_name& service);
  void CollectCandidates(instant now,
                         const std::vector<member_record>& subset,
                         const attempt_history& history);
  /// Keeps to the own failure domain if that costs callers nothing. Returns
  /// the candidate, or null.
  const member_record* ChooseNear(event_context& context);
  bool IsGoodEnough(instant now,
                    const member_record& record,
                    double best_latency) const;
  bool MayEject(instant now, node_id node) const;
  void EjectIfFailing(event_context& context, node_id node);

  const membership& members_;
  std::unordered_map<service_name, service_view> services_;
  std::unordered_map<node_id, endpoint_view> endpoints_;
  std::vector<const member_record*> candidates_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ROUTER_H_
