#ifndef LIBDECISION_ROUTING_ROUTER_H_
#define LIBDECISION_ROUTING_ROUTER_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Routing/attempt_history.h"
#include "LibDecision/Routing/capacity_placement.h"
#include "LibDecision/Routing/endpoint_stats.h"
#include "LibDecision/event_context.h"
#include "LibDecision/member_record.h"
#include "LibDecision/outcome.h"

namespace auburnfold {

/// Chooses the endpoint for each attempt by the statistics of this node's own
/// requests.
class router {
 public:
  explicit router(const membership& members) : members_(members) {}

  /// Whether endpoints are chosen by their free capacity.
  void set_plans(bool plans) { plans_ = plans; }

  /// Chooses an endpoint of `service`, avoiding the nodes already tried if
  /// others remain. Returns null if none is ready, or if the rate limits of all
  /// are used up; see `next_send_at`. The result is valid until the next call.
  /// `tolerance` is the part of an endpoint's send interval by which the
  /// request may be sent too early.
  const member_record* Choose(event_context& context,
                              const service_name& service,
                              const attempt_history& history,
                              double tolerance = 0);
  /// When the earliest of the rate limits admits the request for which `Choose`
  /// last returned null; unset if no endpoint was ready.
  const std::optional<instant>& next_send_at() const { return next_send_at_; }

  void OnSent(event_context& context,
              const member_record& to,
              const class_name& request_class = {});
  void OnFinished(event_context& context,
                  node_id node,
                  const outcome& result,
                  duration elapsed,
                  bool carried_notice = false,
                  const service_class& target = {});
  void OnCancelled(event_context& context, node_id node);
  /// What `node` last said about its endpoint; unset if the endpoint names no
  /// limit and is not leaving.
  std::optional<endpoint_notice> NoticeOf(node_id node) const;
  /// When `node` last answered an attempt; the clock's origin if never.
  instant LastAnsweredAt(node_id node) const;
  /// Number of candidates of the last `Choose`.
  std::size_t candidate_count() const { return candidates_.size(); }
  /// An attempt at `node` reached its deadline without an answer.
  void OnTimedOut(event_context& context, node_id node);

 private:
  struct service_subset {
    instant refreshed_at{};
    std::vector<member_record> subset;
  };

  const std::vector<member_record>& SubsetOf(instant now,
                                             const service_name& service);
  void CollectCandidates(instant now,
                         const std::vector<member_record>& subset,
                         const attempt_history& history,
                         double tolerance);
  /// Returns the best candidate in the local failure domain if using it costs
  /// callers nothing, null otherwise.
  const member_record* ChooseInLocalDomain(event_context& context);
  /// Chooses among few random candidates by free capacity and speed.
  const member_record* ChooseByCapacity(event_context& context);
  /// Leaves only candidates of the local failure domain if using them costs
  /// callers nothing.
  void PreferLocalDomain(instant now);
  bool IsPreferable(instant now,
                    const member_record& record,
                    double best_latency) const;
  bool MayEject(instant now, node_id node) const;
  void EjectIfFailing(event_context& context, node_id node);

  const membership& members_;
  std::unordered_map<service_name, service_subset> subsets_;
  std::unordered_map<node_id, endpoint_stats> endpoints_;
  capacity_placement placement_;
  bool plans_ = false;
  std::vector<const member_record*> candidates_;
  std::optional<instant> next_send_at_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTING_ROUTER_H_
