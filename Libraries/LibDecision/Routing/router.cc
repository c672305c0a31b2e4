#include "LibDecision/Routing/router.h"

#include <algorithm>
#include <chrono>

#include "LibDecision/Routing/endpoint_subset.h"

namespace auburnfold {

namespace {

/// Membership is looked at again after this time.
constexpr duration kRefreshAfter = std::chrono::milliseconds(100);
/// An endpoint of another failure domain must be this much better.
constexpr double kOtherDomainCost = 1.25;
constexpr int kDraws = 4;
/// Share of the requests that go anywhere, to learn of the other endpoints.
constexpr double kExploredShare = 0.02;
/// Share of its slots in use from which an endpoint is no longer preferred.
constexpr double kCrowdedShare = 0.7;
/// An endpoint of the own domain may be this much slower than the quickest.
constexpr double kSlowFactor = 3;
/// Share of failed requests from which an endpoint is no longer preferred.
constexpr double kFailingShare = 0.1;

}  // namespace

// What was not tried comes first, then what was not tried last.
void router::CollectCandidates(instant now,
                               const std::vector<member_record>& subset,
                               const attempt_history& history) {
  const auto collect = [&](const auto& is_wanted) {
    for (const member_record& record : subset) {
      if (history.MayGoTo(record.node) && is_wanted(record.node)) {
        candidates_.push_back(&record);
      }
    }
    return !candidates_.empty();
  };
  candidates_.clear();
  const bool is_found =
      collect([&](node_id node) {
        return !history.IsTried(node) && !endpoints_[node].IsEjected(now);
      }) ||
      collect([&](node_id node) {
        return !history.IsTriedLast(node) && !endpoints_[node].IsEjected(now);
      });
  if (!is_found) {
    collect([](node_id) { return true; });
  }
}

const member_record* router::Choose(event_context& context,
                                    const service_name& service,
                                    const attempt_history& history) {
  CollectCandidates(context.now(), SubsetOf(context.now(), service), history);
  if (candidates_.empty()) {
    return nullptr;
  }
  if (const member_record* near = ChooseNear(context)) {
    return near;
  }
  const domain_name& own_domain = members_.self().domain;
  const auto cost = [&](const member_record* record) {
    const double own = endpoints_[record->node].Cost(context.now());
    return record->domain == own_domain ? own : own * kOtherDomainCost;
  };
  const auto first_other =
      std::partition(candidates_.begin(), candidates_.end(),
                     [&own_domain](const member_record* record) {
                       return record->domain == own_domain;
                     });
  const auto local_count =
      static_cast<std::size_t>(first_other - candidates_.begin());
  const member_record* best = candidates_[context.RandomBelow(
      local_count > 0 ? local_count : candidates_.size())];
  for (int i = 0; i < kDraws; ++i) {
    const member_record* drawn =
        candidates_[context.RandomBelow(candidates_.size())];
    if (cost(drawn) < cost(best)) {
      best = drawn;
    }
  }
  return best;
}

void router::OnSent(event_context&, const member_record& to) {
  endpoints_[to.node].OnSent();
}

// Bytes between failure domains are dear, and a request that stays near is
// answered sooner. Only an endpoint with room, that is about as quick as the
// others and does not fail, is preferred; a few requests still go anywhere, so
// that the others are known.
const member_record* router::ChooseNear(event_context& context) {
  const bool is_any_near = std::any_of(
      candidates_.begin(), candidates_.end(),
      [this](const member_record* each) {
        return each->slots > 0 && each->domain == members_.self().domain;
      });
  if (!is_any_near || context.RandomFraction() < kExploredShare) {
    return nullptr;
  }
  double best_latency = 0;
  for (const member_record* each : candidates_) {
    const double latency = endpoints_[each->node].latency_ns();
    const bool is_best =
        latency > 0 && (best_latency == 0 || latency < best_latency);
    best_latency = is_best ? latency : best_latency;
  }
  const member_record* best = nullptr;
  double best_cost = 0;
  for (const member_record* each : candidates_) {
    const bool is_near = each->domain == members_.self().domain;
    if (!is_near || !IsGoodEnough(context.now(), *each, best_latency)) {
      continue;
    }
    const double cost = endpoints_[each->node].Cost(context.now());
    if (best == nullptr || cost < best_cost) {
      best = each;
      best_cost = cost;
    }
  }
  return best;
}

bool router::IsGoodEnough(instant now,
                          const member_record& record,
                          double best_latency) const {
  if (record.slots == 0) {
    return false;
  }
  const endpoint_view& view = endpoints_.at(record.node);
  const auto occupancy = view.Occupancy(now);
  const bool has_room = occupancy.value_or(0) < record.slots * kCrowdedShare;
  const bool is_quick =
      best_latency == 0 || view.latency_ns() <= best_latency * kSlowFactor;
  return has_room && is_quick && view.failed_share() < kFailingShare;
}

void router::OnFinished(event_context& context,
                        node_id node,
                        const outcome& result,
                        duration elapsed) {
  endpoints_[node].OnFinished(context.now(), result, elapsed);
  EjectIfFailing(context, node);
}

void router::OnCancelled(event_context&, node_id node) {
  endpoints_[node].OnCancelled();
}

instant router::AnsweredAt(node_id node) const {
  const auto found = endpoints_.find(node);
  return found == endpoints_.end() ? instant() : found->second.answered_at();
}

void router::OnUnanswered(event_context& context, node_id node) {
  endpoints_[node].OnUnanswered(context.now());
  EjectIfFailing(context, node);
}

const std::vector<member_record>& router::SubsetOf(
    instant now,
    const service_name& service) {
  service_view& view = services_[service];
  if (view.subset.empty() || now - view.refreshed >= kRefreshAfter) {
    const member_record& self = members_.self();
    view.subset =
        SubsetFor(self.node, self.domain, members_.ReadyEndpoints(service));
    view.refreshed = now;
    for (const member_record& record : view.subset) {
      endpoints_[record.node].OnRun(record.run);
    }
  }
  return view.subset;
}

void router::EjectIfFailing(event_context& context, node_id node) {
  endpoint_view& view = endpoints_[node];
  if (!view.is_failing() || view.IsEjected(context.now()) ||
      !MayEject(context.now(), node)) {
    return;
  }
  view.Eject(context.now());
  context.Count(counter::kEndpointsEjected);
  context.Log({.kind = decision_kind::kEndpointEjected, .node = node});
}

// At most half of the endpoints of a service are ejected at once: the others
// could not bear the load of more.
bool router::MayEject(instant now, node_id node) const {
  for (const auto& [name, view] : services_) {
    std::size_t ejected = 1;
    bool is_member = false;
    for (const member_record& record : view.subset) {
      is_member = is_member || record.node == node;
      const auto seen = endpoints_.find(record.node);
      if (seen != endpoints_.end() && seen->second.IsEjected(now)) {
        ++ejected;
      }
    }
    if (is_member && ejected * 2 > view.subset.size()) {
      return false;
    }
  }
  return true;
}

}  // namespace auburnfold
