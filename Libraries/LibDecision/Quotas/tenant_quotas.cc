#include "LibDecision/Quotas/tenant_quotas.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

namespace {

/// A call waits for the owner for at most this part of its objective, since a
/// caller that is refused late has little time left to return.
constexpr int kWaitDivisor = 8;
constexpr duration kMaxWait = std::chrono::milliseconds(100);
/// A node that has just started knows only some of the members, like all others
/// that started with it.
constexpr duration kSettleTime = std::chrono::seconds(1);
/// Reports that are due this soon are sent together.
constexpr duration kBatchTime = std::chrono::milliseconds(20);
constexpr duration kWaitCheckInterval = std::chrono::milliseconds(5);
constexpr duration kExpiryInterval = std::chrono::milliseconds(200);
constexpr duration kDiscardInterval = std::chrono::seconds(5);

constexpr timer_id kWaitTimer{timer_owner::kQuotaWaits, 0};
constexpr timer_id kDiscardTimer{timer_owner::kQuotaDiscard, 0};

timer_id ReportTimer(node_id owner) {
  return {timer_owner::kQuotaReports, owner.value()};
}

duration PatienceFor(duration objective) {
  return objective > duration::zero()
             ? std::min(objective / kWaitDivisor, kMaxWait)
             : kMaxWait;
}

}  // namespace

void tenant_quotas::Start(event_context& context, node_id self) {
  self_ = self;
  started_at_ = context.now();
}

void tenant_quotas::Apply(event_context& context,
                          const std::vector<tenant_config>& tenants) {
  limits_.clear();
  for (const tenant_config& tenant : tenants) {
    if (tenant.quota.is_limited()) {
      limits_.emplace(tenant.name, tenant.quota);
    }
  }
  for (auto& [tenant, pool] : pools_) {
    const auto limit = limits_.find(tenant);
    if (limit != limits_.end()) {
      pool.SetLimit(context.now(), limit->second);
    }
  }
  for (auto& [tenant, local] : entries_) {
    const auto limit = limits_.find(tenant);
    if (limit == limits_.end()) {
      std::for_each(local.queue.begin(), local.queue.end(),
                    [this](call_id call) { Resolve(call, true); });
      owners_.Forget(tenant);
    } else if (limit->second != local.quota.limit()) {
      local.quota.SetLimit(limit->second);
    }
  }
  const auto is_unlimited = [this](const auto& item) {
    return !limits_.contains(item.first);
  };
  std::erase_if(pools_, is_unlimited);
  std::erase_if(entries_, is_unlimited);
}

quota_decision tenant_quotas::Admit(event_context& context,
                                    call_id call,
                                    const tenant_name& tenant,
                                    duration objective) {
  const auto limit = limits_.find(tenant);
  if (limit == limits_.end()) {
    return quota_decision::kAdmitted;
  }
  entry& local = EntryFor(context, tenant, limit->second);
  UpdateOwner(context, tenant, local);
  const duration patience = PatienceFor(objective);
  const quota_decision decision = local.quota.Decide(context.now(), patience);
  if (decision == quota_decision::kWait) {
    Wait(context, call, tenant, local, patience);
  }
  ScheduleReport(context, tenant, local);
  if (decision == quota_decision::kAdmitted) {
    context.Count(counter::kQuotaAdmitted);
  }
  return decision;
}

void tenant_quotas::Refund(instant now, const tenant_name& tenant) {
  const auto found = entries_.find(tenant);
  if (found != entries_.end()) {
    found->second.quota.Refund(now);
  }
}

duration tenant_quotas::OnRefused(event_context& context,
                                  const tenant_name& tenant,
                                  decision_record refused) {
  context.Count(counter::kRefusedByQuota);
  const auto found = entries_.find(tenant);
  refused.kind = decision_kind::kQuotaRefused;
  refused.tenant = tenant;
  duration retry_after = kMaxWait;
  if (found != entries_.end()) {
    const local_quota& quota = found->second.quota;
    refused.basis =
        quota.is_owner_lost() ? quota_basis::kEqualPart : quota_basis::kOwner;
    refused.node = found->second.owner;
    refused.age = quota.WordAge(context.now());
    retry_after = quota.RetryAfter(context.now());
  }
  // Callers that are refused together would otherwise return together.
  retry_after = std::chrono::duration_cast<duration>(
      retry_after * (1 + context.RandomFraction()));
  refused.retry_after = retry_after;
  context.Log(std::move(refused));
  return retry_after;
}

void tenant_quotas::OnReported(event_context& context,
                               const quota_reported& reported) {
  context.Count(counter::kQuotaReportsReceived);
  context.Emit(send_quota_grants{
      reported.call, TakeFromPools(context, reported.from, reported.usage)});
}

void tenant_quotas::OnGranted(event_context& context,
                              const quota_granted& granted) {
  auto report = reports_.extract(granted.call);
  if (!report) {
    return;
  }
  const sent_report& sent = report.mapped();
  links_[sent.owner].is_pending = false;
  OnOwnerAnswer(context, sent.usage,
                granted.grants.value_or(std::vector<quota_grant>()));
  ScheduleLink(context, sent.owner, links_[sent.owner]);
}

void tenant_quotas::OnTimer(event_context& context, timer_id due) {
  switch (due.owner) {
    case timer_owner::kQuotaReports:
      return SendReports(context, node_id(due.key));
    case timer_owner::kQuotaWaits:
      return EndWaits(context);
    default:
      return DiscardIdle(context);
  }
}

std::vector<quota_verdict> tenant_quotas::TakeVerdicts() {
  return std::exchange(verdicts_, {});
}

tenant_quotas::entry& tenant_quotas::EntryFor(event_context& context,
                                              const tenant_name& tenant,
                                              const tenant_quota& limit) {
  if (entries_.empty() && pools_.empty()) {
    context.timers().Schedule(kDiscardTimer, context.now() + kDiscardInterval);
  }
  return entries_.try_emplace(tenant, limit).first->second;
}

void tenant_quotas::UpdateOwner(event_context& context,
                                const tenant_name& tenant,
                                entry& local) {
  const auto owner = owners_.OwnerOf(context.now(), tenant);
  if (!owner) {
    if (!local.quota.is_owner_lost()) {
      OnOwnerLost(context, {.tenant = tenant}, local);
    }
    return;
  }
  if (local.owner == owner->node) {
    return;
  }
  if (local.owner) {
    links_[*local.owner].due.erase(tenant);
    context.Log({.kind = decision_kind::kQuotaOwnerChanged,
                 .node = owner->node,
                 .tenant = tenant});
  }
  local.owner = owner->node;
  local.quota.OnOwnerChanged();
}

void tenant_quotas::Wait(event_context& context,
                         call_id call,
                         const tenant_name& tenant,
                         entry& local,
                         duration patience) {
  const instant until = context.now() + patience;
  if (waiting_.empty()) {
    context.timers().Schedule(kWaitTimer, until);
  }
  waiting_.emplace(call, waiting_call{tenant, until});
  local.queue.push_back(call);
}

void tenant_quotas::ScheduleReport(event_context& context,
                                   const tenant_name& tenant,
                                   const entry& local) {
  if (!local.owner) {
    return;
  }
  owner_link& link = links_[*local.owner];
  link.due[tenant] = std::max(local.quota.next_report_at(), context.now());
  ScheduleLink(context, *local.owner, link);
}

void tenant_quotas::ScheduleLink(event_context& context,
                                 node_id owner,
                                 const owner_link& link) {
  if (link.is_pending || link.due.empty()) {
    return;
  }
  const auto first = std::min_element(link.due.begin(), link.due.end(),
                                      [](const auto& left, const auto& right) {
                                        return left.second < right.second;
                                      });
  context.timers().Schedule(ReportTimer(owner), first->second);
}

void tenant_quotas::SendReports(event_context& context, node_id owner) {
  owner_link& link = links_[owner];
  if (link.is_pending) {
    return;
  }
  std::vector<quota_usage> reported;
  std::vector<tenant_name> due;
  for (const auto& [tenant, when] : link.due) {
    if (when <= context.now() + kBatchTime) {
      due.push_back(tenant);
    }
  }
  for (const tenant_name& tenant : due) {
    link.due.erase(tenant);
    const auto found = entries_.find(tenant);
    if (found == entries_.end()) {
      continue;
    }
    entry& local = found->second;
    UpdateOwner(context, tenant, local);
    if (local.owner != owner) {
      ScheduleReport(context, tenant, local);
      continue;
    }
    auto usage = local.quota.TakeUsage(context.now(), CountWaiting(local),
                                       context.RandomFraction());
    if (usage) {
      usage->tenant = tenant;
      reported.push_back(*std::move(usage));
    } else if (local.quota.has_report()) {
      link.due[tenant] = context.now() + kExpiryInterval;
    }
  }
  if (reported.empty()) {
    return ScheduleLink(context, owner, link);
  }
  if (owner == self_) {
    const auto grants = TakeFromPools(context, self_, reported);
    OnOwnerAnswer(context, reported, grants);
    return ScheduleLink(context, owner, link);
  }
  const member_record* record = members_.Find(owner);
  if (record == nullptr) {
    return OnOwnerAnswer(context, reported, {});
  }
  const quota_call_id call(next_call_++);
  link.is_pending = true;
  context.Count(counter::kQuotaReportsSent);
  context.Emit(report_quota_usage{call, record->address, reported});
  reports_.emplace(call, sent_report{owner, std::move(reported)});
}

// What another node owns, in the view of this one, gets no grant: two owners
// would each grant the whole rate.
std::vector<quota_grant> tenant_quotas::TakeFromPools(
    event_context& context,
    node_id from,
    const std::vector<quota_usage>& usage) {
  const instant now = context.now();
  std::vector<quota_grant> grants;
  if (!IsSettled(now)) {
    return grants;
  }
  const quota_fleet fleet{owners_.RecentMemberShare(now),
                          owners_.RecentMemberCount(now)};
  for (const quota_usage& reported : usage) {
    const auto limit = limits_.find(reported.tenant);
    const auto owner = owners_.OwnerOf(now, reported.tenant);
    if (limit == limits_.end() || !owner || owner->node != self_) {
      pools_.erase(reported.tenant);
      continue;
    }
    if (entries_.empty() && pools_.empty()) {
      context.timers().Schedule(kDiscardTimer, now + kDiscardInterval);
    }
    const instant since = std::max(owner->since, SettledAt());
    const auto pool =
        pools_.try_emplace(reported.tenant, now, limit->second, since).first;
    grants.push_back(pool->second.Take(now, from, reported, fleet));
  }
  return grants;
}

void tenant_quotas::OnOwnerAnswer(event_context& context,
                                  const std::vector<quota_usage>& usage,
                                  const std::vector<quota_grant>& grants) {
  for (const quota_usage& reported : usage) {
    const auto found = entries_.find(reported.tenant);
    if (found == entries_.end()) {
      continue;
    }
    entry& local = found->second;
    const auto grant =
        std::find_if(grants.begin(), grants.end(), [&](const auto& candidate) {
          return candidate.tenant == reported.tenant;
        });
    if (grant != grants.end()) {
      local.quota.OnGrant(context.now(), *grant);
    } else {
      OnOwnerLost(context, reported, local);
    }
    ServeQueue(context, local);
    if (local.quota.is_owner_lost()) {
      RefuseQueue(local);
    }
    if (local.quota.has_report() || CountWaiting(local) > 0) {
      ScheduleReport(context, reported.tenant, local);
    }
  }
}

void tenant_quotas::OnOwnerLost(event_context& context,
                                const quota_usage& usage,
                                entry& local) {
  const instant now = context.now();
  if (!local.quota.is_owner_lost()) {
    context.Log({.kind = decision_kind::kQuotaOwnerLost,
                 .node = local.owner,
                 .age = local.quota.WordAge(now),
                 .tenant = usage.tenant});
  }
  std::optional<quota_floor> floor;
  if (IsSettled(now)) {
    context.Count(counter::kQuotaFloorsUsed, local.quota.uses_floor() ? 0 : 1);
    floor.emplace(now, local.quota.limit(), owners_.RecentMemberCount(now),
                  context.RandomFraction());
  }
  local.quota.OnOwnerLost(now, usage, floor);
}

void tenant_quotas::ServeQueue(event_context& context, entry& local) {
  while (!local.queue.empty()) {
    const call_id call = local.queue.front();
    const bool is_waiting = waiting_.contains(call);
    if (is_waiting && !local.quota.TryTake(context.now())) {
      break;
    }
    local.queue.pop_front();
    if (is_waiting) {
      context.Count(counter::kQuotaAdmitted);
      Resolve(call, true);
    }
  }
}

void tenant_quotas::RefuseQueue(entry& local) {
  for (const call_id call : std::exchange(local.queue, {})) {
    Resolve(call, false);
  }
}

void tenant_quotas::Resolve(call_id call, bool is_admitted) {
  if (waiting_.erase(call) > 0) {
    verdicts_.push_back({call, is_admitted});
  }
}

void tenant_quotas::EndWaits(event_context& context) {
  std::vector<call_id> expired;
  instant next = instant::max();
  for (const auto& [call, wait] : waiting_) {
    if (wait.until <= context.now()) {
      expired.push_back(call);
    } else {
      next = std::min(next, wait.until);
    }
  }
  for (const call_id call : expired) {
    Resolve(call, false);
  }
  if (!waiting_.empty()) {
    context.timers().Schedule(
        kWaitTimer, std::max(next, context.now() + kWaitCheckInterval));
  }
}

void tenant_quotas::DiscardIdle(event_context& context) {
  const instant now = context.now();
  std::erase_if(pools_,
                [now](const auto& item) { return item.second.IsIdle(now); });
  std::erase_if(entries_, [now](const auto& item) {
    return item.second.quota.IsIdle(now);
  });
  std::erase_if(links_, [](const auto& item) {
    return !item.second.is_pending && item.second.due.empty();
  });
  if (!entries_.empty() || !pools_.empty()) {
    context.timers().Schedule(kDiscardTimer, now + kDiscardInterval);
  }
}

instant tenant_quotas::SettledAt() const {
  return is_fleet_known_ ? started_at_ : started_at_ + kSettleTime;
}

// Calls that no longer wait leave the queue when they reach its front.
std::uint32_t tenant_quotas::CountWaiting(entry& local) {
  std::erase_if(local.queue,
                [this](call_id call) { return !waiting_.contains(call); });
  return static_cast<std::uint32_t>(local.queue.size());
}

}  // namespace auburnfold
