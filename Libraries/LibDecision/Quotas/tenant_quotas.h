#ifndef LIBDECISION_QUOTAS_TENANT_QUOTAS_H_
#define LIBDECISION_QUOTAS_TENANT_QUOTAS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Membership/member_list.h"
#include "LibDecision/Quotas/local_quota.h"
#include "LibDecision/Quotas/quota_owner_choice.h"
#include "LibDecision/Quotas/quota_pool.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"

namespace auburnfold {

/// A call that waited for its tenant's quota.
struct quota_verdict {
  call_id call;
  bool is_admitted = false;
};

/// Holds the requests of tenants to their quotas over all nodes. One node owns
/// a tenant's quota; those that receive the tenant's requests report their use
/// to it, and are granted requests while the quota is scarce.
class tenant_quotas {
 public:
  explicit tenant_quotas(const member_list& members)
      : members_(members), owners_(members) {}

  void Start(event_context& context, node_id self);
  /// The members that are known now are those of the whole fleet, although this
  /// node has just started.
  void OnFleetKnown() { is_fleet_known_ = true; }
  /// Quotas that changed take effect at once.
  void Apply(event_context& context, const std::vector<tenant_config>& tenants);

  /// Decides about a call for `tenant`, which arrived with `objective` as its
  /// latency target. A call that has to wait is in `TakeVerdicts` later.
  quota_decision Admit(event_context& context,
                       call_id call,
                       const tenant_name& tenant,
                       duration objective);
  /// `call` no longer waits.
  void Forget(call_id call) { waiting_.erase(call); }
  /// A request of `tenant` that was admitted was certainly not executed.
  void Refund(instant now, const tenant_name& tenant);
  /// Logs the refusal `refused` of a call and returns when it may return.
  duration OnRefused(event_context& context,
                     const tenant_name& tenant,
                     decision_record refused);

  void OnReported(event_context& context, const quota_reported& reported);
  void OnGranted(event_context& context, const quota_granted& granted);
  void OnTimer(event_context& context, timer_id due);

  std::vector<quota_verdict> TakeVerdicts();

 private:
  /// One tenant at this node.
  struct entry {
    explicit entry(const tenant_quota& limit) : quota(limit) {}
    local_quota quota;
    std::optional<node_id> owner;
    /// Calls in the order of their arrival; those no longer in `waiting_` are
    /// skipped.
    std::deque<call_id> queue;
  };
  struct waiting_call {
    tenant_name tenant;
    instant until;
  };
  struct sent_report {
    node_id owner;
    std::vector<quota_usage> usage;
  };
  /// What is due to be reported to one owner.
  struct owner_link {
    std::map<tenant_name, instant> due;
    bool is_pending = false;
  };

  entry& EntryFor(event_context& context,
                  const tenant_name& tenant,
                  const tenant_quota& limit);
  void UpdateOwner(event_context& context,
                   const tenant_name& tenant,
                   entry& local);
  void Wait(event_context& context,
            call_id call,
            const tenant_name& tenant,
            entry& local,
            duration patience);
  void ScheduleReport(event_context& context,
                      const tenant_name& tenant,
                      const entry& local);
  void ScheduleLink(event_context& context,
                    node_id owner,
                    const owner_link& link);
  void SendReports(event_context& context, node_id owner);
  std::vector<quota_grant> TakeFromPools(event_context& context,
                                         node_id from,
                                         const std::vector<quota_usage>& usage);
  void OnOwnerAnswer(event_context& context,
                     const std::vector<quota_usage>& usage,
                     const std::vector<quota_grant>& grants);
  void OnOwnerLost(event_context& context,
                   const quota_usage& usage,
                   entry& local);
  /// Admits those that wait as far as the quota allows.
  void ServeQueue(event_context& context, entry& local);
  void RefuseQueue(entry& local);
  void Resolve(call_id call, bool is_admitted);
  void EndWaits(event_context& context);
  void DiscardIdle(event_context& context);
  /// From when on this node knows enough members to own quotas.
  instant SettledAt() const;
  bool IsSettled(instant now) const { return now >= SettledAt(); }
  std::uint32_t CountWaiting(entry& local);

  const member_list& members_;
  quota_owner_choice owners_;
  node_id self_;
  instant started_at_{};
  bool is_fleet_known_ = false;
  std::map<tenant_name, tenant_quota> limits_;
  std::unordered_map<tenant_name, entry> entries_;
  std::unordered_map<tenant_name, quota_pool> pools_;
  std::unordered_map<node_id, owner_link> links_;
  std::unordered_map<quota_call_id, sent_report> reports_;
  std::unordered_map<call_id, waiting_call> waiting_;
  std::vector<quota_verdict> verdicts_;
  std::uint64_t next_call_ = 1;
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUOTAS_TENANT_QUOTAS_H_
