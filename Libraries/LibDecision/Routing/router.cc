#include "LibDecision/Routing/router.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibDecision/Routing/endpoint_subset.h"

namespace auburnfold {

namespace {

/// The subset of a service is recomputed from the membership after this time.
constexpr duration kSubsetRefreshInterval = std::chrono::milliseconds(100);
/// The cost of an endpoint in another failure domain is multiplied by this.
constexpr double kOtherDomainCostFactor = 1.25;
/// Candidates drawn at random, of which the cheapest is chosen.
constexpr int kRandomDraws = 4;
/// Fraction of requests sent without preference for the local failure domain,
/// so that the statistics of the other endpoints stay current.
constexpr double kExplorationFraction = 0.02;
/// An endpoint with this fraction of its slots in use is no longer preferred.
constexpr double kMaxPreferredUtilization = 0.7;
/// A preferred endpoint may be this many times as slow as the fastest one.
constexpr double kMaxLatencyRatio = 3;
/// The same if endpoints are chosen by capacity, in proportion to the mean.
constexpr double kMaxPreferredSlowness = 1.25;
/// Candidates compared by capacity. More would send the requests of many nodes
/// to the endpoint that looked best when it last answered.
constexpr int kCapacityDraws = 3;
/// An endpoint with this fraction of failed requests is no longer preferred.
constexpr double kMaxPreferredFailedFraction = 0.1;

}  // namespace

// Prefers nodes that were not tried, then those not tried last.
void router::CollectCandidates(instant now,
                               const std::vector<member_record>& subset,
                               const attempt_history& history,
                               double tolerance) {
  const auto collect = [&](const auto& is_eligible) {
    for (const member_record& record : subset) {
      if (!history.MayTry(record.node) || !is_eligible(record.node)) {
        continue;
      }
      const instant next_send_at =
          endpoints_[record.node].NextSendAt(tolerance);
      if (next_send_at <= now) {
        candidates_.push_back(&record);
      } else {
        next_send_at_ =
            std::min(next_send_at, next_send_at_.value_or(next_send_at));
      }
    }
    return !candidates_.empty();
  };
  candidates_.clear();
  next_send_at_.reset();
  const bool is_found =
      collect([&](node_id node) {
        return !history.HasTried(node) && !endpoints_[node].IsEjected(now);
      }) ||
      collect([&](node_id node) {
        return !history.HasTriedLast(node) && !endpoints_[node].IsEjected(now);
      });
  if (!is_found) {
    collect([](node_id) { return true; });
  }
}

const member_record* router::Choose(event_context& context,
                                    const service_name& service,
                                    const attempt_history& history,
                                    double tolerance) {
  CollectCandidates(context.now(), SubsetOf(context.now(), service), history,
                    tolerance);
  if (candidates_.empty()) {
    return nullptr;
  }
  if (plans_) {
    return ChooseByCapacity(context);
  }
  if (const member_record* preferred = ChooseInLocalDomain(context)) {
    return preferred;
  }
  const domain_name& local_domain = members_.self().domain;
  const auto cost = [&](const member_record* record) {
    const double base_cost = endpoints_[record->node].Cost(context.now());
    return record->domain == local_domain ? base_cost
                                          : base_cost * kOtherDomainCostFactor;
  };
  const auto first_remote =
      std::partition(candidates_.begin(), candidates_.end(),
                     [&local_domain](const member_record* record) {
                       return record->domain == local_domain;
                     });
  const auto local_count =
      static_cast<std::size_t>(first_remote - candidates_.begin());
  const member_record* best = candidates_[context.RandomBelow(
      local_count > 0 ? local_count : candidates_.size())];
  for (int i = 0; i < kRandomDraws; ++i) {
    const member_record* drawn =
        candidates_[context.RandomBelow(candidates_.size())];
    if (cost(drawn) < cost(best)) {
      best = drawn;
    }
  }
  return best;
}

const member_record* router::ChooseByCapacity(event_context& context) {
  if (context.RandomFraction() >= kExplorationFraction) {
    PreferLocalDomain(context.now());
  }
  const auto cost = [&](const member_record* record) {
    const endpoint_stats& stats = endpoints_[record->node];
    return placement_.Cost(context.now(), *record, stats.in_flight()) *
           stats.Penalty(context.now());
  };
  const member_record* best =
      candidates_[context.RandomBelow(candidates_.size())];
  double best_cost = cost(best);
  for (int i = 1; i < kCapacityDraws; ++i) {
    const member_record* drawn =
        candidates_[context.RandomBelow(candidates_.size())];
    const double drawn_cost = cost(drawn);
    if (drawn_cost < best_cost) {
      best = drawn;
      best_cost = drawn_cost;
    }
  }
  return best;
}

// Callers lose nothing in the local domain while its endpoints have free
// capacity and are about as fast as others.
void router::PreferLocalDomain(instant now) {
  std::vector<const member_record*> preferred;
  for (const member_record* candidate : candidates_) {
    const endpoint_stats& stats = endpoints_[candidate->node];
    const bool is_preferred =
        candidate->domain == members_.self().domain && candidate->slots > 0 &&
        placement_.Utilization(now, *candidate, stats.in_flight()) <
            kMaxPreferredUtilization &&
        placement_.Slowness(candidate->node) < kMaxPreferredSlowness &&
        stats.failed_fraction() < kMaxPreferredFailedFraction;
    if (is_preferred) {
      preferred.push_back(candidate);
    }
  }
  if (!preferred.empty()) {
    candidates_ = std::move(preferred);
  }
}

void router::OnSent(event_context& context,
                    const member_record& to,
                    const class_name& request_class) {
  endpoints_[to.node].OnSent(context.now());
  if (plans_) {
    placement_.OnSent(to.node, {to.service, request_class});
  }
}

// Traffic between failure domains is expensive, and a request that stays in the
// local domain is answered sooner. An endpoint is preferred only if it has free
// slots, is about as fast as the others and does not fail.
const member_record* router::ChooseInLocalDomain(event_context& context) {
  const bool has_local_candidate =
      std::any_of(candidates_.begin(), candidates_.end(),
                  [this](const member_record* candidate) {
                    return candidate->slots > 0 &&
                           candidate->domain == members_.self().domain;
                  });
  if (!has_local_candidate || context.RandomFraction() < kExplorationFraction) {
    return nullptr;
  }
  double best_latency = 0;
  for (const member_record* candidate : candidates_) {
    const double latency = endpoints_[candidate->node].latency_ns();
    const bool is_best =
        latency > 0 && (best_latency == 0 || latency < best_latency);
    best_latency = is_best ? latency : best_latency;
  }
  const member_record* best = nullptr;
  double best_cost = 0;
  for (const member_record* candidate : candidates_) {
    const bool is_local = candidate->domain == members_.self().domain;
    if (!is_local || !IsPreferable(context.now(), *candidate, best_latency)) {
      continue;
    }
    const double cost = endpoints_[candidate->node].Cost(context.now());
    if (best == nullptr || cost < best_cost) {
      best = candidate;
      best_cost = cost;
    }
  }
  return best;
}

bool router::IsPreferable(instant now,
                          const member_record& record,
                          double best_latency) const {
  if (record.slots == 0) {
    return false;
  }
  const endpoint_stats& stats = endpoints_.at(record.node);
  const auto occupancy = stats.Occupancy(now);
  const bool has_capacity =
      occupancy.value_or(0) < record.slots * kMaxPreferredUtilization;
  const bool is_fast = best_latency == 0 ||
                       stats.latency_ns() <= best_latency * kMaxLatencyRatio;
  return has_capacity && is_fast &&
         stats.failed_fraction() < kMaxPreferredFailedFraction;
}

void router::OnFinished(event_context& context,
                        node_id node,
                        const outcome& result,
                        duration elapsed,
                        bool carried_notice,
                        const service_class& target) {
  if (plans_) {
    placement_.OnFinished(context.now(), node, target, result, elapsed);
  }
  endpoints_[node].OnFinished(context.now(), result, elapsed, carried_notice);
  EjectIfFailing(context, node);
}

void router::OnCancelled(event_context&, node_id node) {
  endpoints_[node].OnCancelled();
}

instant router::LastAnsweredAt(node_id node) const {
  const auto found = endpoints_.find(node);
  return found == endpoints_.end() ? instant()
                                   : found->second.last_answered_at();
}

std::optional<endpoint_notice> router::NoticeOf(node_id node) const {
  const auto found = endpoints_.find(node);
  return found == endpoints_.end() ? std::nullopt : found->second.notice();
}

void router::OnTimedOut(event_context& context, node_id node) {
  endpoints_[node].OnTimedOut(context.now());
  EjectIfFailing(context, node);
}

const std::vector<member_record>& router::SubsetOf(
    instant now,
    const service_name& service) {
  service_subset& entry = subsets_[service];
  if (entry.subset.empty() ||
      now - entry.refreshed_at >= kSubsetRefreshInterval) {
    const member_record& self = members_.self();
    entry.subset =
        ChooseSubset(self.node, self.domain, members_.ReadyEndpoints(service));
    entry.refreshed_at = now;
    for (const member_record& record : entry.subset) {
      endpoints_[record.node].OnRun(record.run);
    }
  }
  return entry.subset;
}

void router::EjectIfFailing(event_context& context, node_id node) {
  endpoint_stats& stats = endpoints_[node];
  if (!stats.should_eject() || stats.IsEjected(context.now()) ||
      !MayEject(context.now(), node)) {
    return;
  }
  stats.Eject(context.now());
  context.Count(counter::kEndpointsEjected);
  context.Log({.kind = decision_kind::kEndpointEjected, .node = node});
}

// At most half of the endpoints of a service are ejected at once, since the
// remaining ones could not carry the load of more.
bool router::MayEject(instant now, node_id node) const {
  for (const auto& [name, entry] : subsets_) {
    std::size_t ejected = 1;
    bool is_member = false;
    for (const member_record& record : entry.subset) {
      is_member = is_member || record.node == node;
      const auto known_stats = endpoints_.find(record.node);
      if (known_stats != endpoints_.end() &&
          known_stats->second.IsEjected(now)) {
        ++ejected;
      }
    }
    if (is_member && ejected * 2 > entry.subset.size()) {
      return false;
    }
  }
  return true;
}

}  // namespace auburnfold
