#ifndef LIBDECISION_ROUTING_ROUTER_H_
#define LIBDECISION_ROUTING_ROUTER_H_

#include <cstdint>
#include <limits>
#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Routing/endpoint_view.h"
#include "LibDecision/member_record.h"
#include "LibDecision/outcome.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// Where earlier attempts of a call went.
struct attempt_history {
  /// Nodes that were tried; the last one comes last.
  std::vector<node_id> tried;
  /// Nodes whose endpoints saw the call, or may have.
  std::vector<node_id> seen_by;
  /// Most endpoints that may see the call; once as many have, it goes only to
  /// these again.
  std::uint16_t most_endpoints = std::numeric_limits<std::uint16_t>::max();

  bool IsTried(node_id node) const;
  bool IsTriedLast(node_id node) const;
  bool MayGoTo(node_id node) const;
  /// The endpoint of the last attempt saw the call, or may have.
  void OnSeen();
};

/// Chooses the endpoint for each attempt, from this node's own observations.
class router {
 public:
  explicit router(const membership& members) : members_(members) {}

  /// Chooses an endpoint of `service`, leaving out the nodes that were tried
  /// where another remains. Nothing if none is ready. The result is valid until
  /// the next call.
  const member_record* Choose(step& now,
                              const service_name& service,
                              const attempt_history& history);

  void OnSent(step& now, const member_record& to);
  void OnFinished(step& now,
                  node_id node,
                  const outcome& result,
                  duration elapsed);
  void OnCancelled(step& now, node_id node);
  /// When the node beside an endpoint last answered; the origin of time if it
  /// never did.
  instant AnsweredAt(node_id node) const;
  /// Endpoints that the last choice was made from.
  std::size_t candidate_count() const { return candidates_.size(); }
  /// The deadline passed without an answer from `node`.
  void OnUnanswered(step& now, node_id node);

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
  const member_record* ChooseNear(step& now);
  bool IsGoodEnough(instant now,
                    const member_record& record,
                    double best_latency) const;
  bool MayEject(instant now, node_id node) const;
  void EjectIfFailing(step& now, node_id node);

  const membership& members_;
  std::unordered_map<service_name, service_view> services_;
  std::unordered_map<node_id, endpoint_view> endpoints_;
  std::vector<const member_record*> candidates_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ROUTER_H_
