#include "LibDecision/Registry/registration.h"

#include <chrono>
#include <utility>

#include "LibDecision/Registry/member_codec.h"
#include "LibDecision/Store/retry_delay.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;

// Three renewals fall into this time, so two of them may fail. The record of a
// dead node remains for at most this time; callers eject such a node on their
// own.
constexpr duration kLeaseTimeToLive = std::chrono::seconds(9);
constexpr int kRenewalsPerLease = 3;
// The delay doubles with each failure. The maximum is small enough that the
// record is restored within two seconds after the store is available again.
constexpr retry_pace kRetryBackoff{milliseconds(100), milliseconds(800), 3};

}  // namespace

void registration::Publish(step& now, const member_record& record) {
  node_ = record.node;
  desired_value_ = EncodeMember(record);
  StartNextCall(now);
}

void registration::OnSeen(step& now,
                          const std::string& value,
                          store_revision revision) {
  if (pending_call_ || revision <= revision_) {
    return;
  }
  revision_ = revision;
  stored_value_ = value;
  StartNextCall(now);
}

// The lease may have ended as well; in that case the next write fails with
// `kNoLease`.
void registration::OnMissing(step& now) {
  if (stage_ == stage::kWriting) {
    return;
  }
  stored_value_.clear();
  revision_ = store_revision();
  StartNextCall(now);
}

void registration::Withdraw(step& now) {
  is_withdrawn_ = true;
  now.timers().Cancel({timer_owner::kRegistration});
  if (lease_) {
    now.Count(counter::kStoreCalls);
    now.Emit(call_store{numbers_.Next(), store_end_lease{*lease_}});
  }
}

void registration::OnStoreAnswered(step& now, const store_answered& answer) {
  if (answer.call != pending_call_ || is_withdrawn_) {
    return;
  }
  pending_call_.reset();
  const stage finished = std::exchange(stage_, stage::kIdle);
  const store_result& result = answer.result;
  if (result.status == store_status::kNoLease) {
    lease_.reset();
    stored_value_.clear();
    return StartNextCall(now);
  }
  const bool is_store_failure = result.status == store_status::kUnavailable ||
                                result.status == store_status::kUnknown;
  if (is_store_failure) {
    now.Count(counter::kStoreFailures);
    return RetryLater(now);
  }
  failures_ = 0;
  switch (finished) {
    case stage::kIdle:
      return;
    case stage::kGranting:
      return OnGranted(now, result);
    case stage::kWriting:
      return OnWritten(now, result);
    case stage::kRenewing:
      return OnRenewed(now, result);
  }
}

void registration::OnTimer(step& now) {
  StartNextCall(now);
}

void registration::StartNextCall(step& now) {
  if (pending_call_ || desired_value_.empty() || is_withdrawn_) {
    return;
  }
  if (!lease_) {
    return SendRequest(now, stage::kGranting,
                       store_grant_lease{kLeaseTimeToLive});
  }
  if (stored_value_ != desired_value_) {
    pending_value_ = desired_value_;
    return SendRequest(now, stage::kWriting,
                       store_compare_and_swap{MemberKey(node_), desired_value_,
                                              revision_, *lease_});
  }
  if (now.now() >= renew_at_) {
    return SendRequest(now, stage::kRenewing, store_renew_lease{*lease_});
  }
  now.timers().Subscribe({timer_owner::kRegistration}, renew_at_);
}

void registration::SendRequest(step& now, stage next, store_request request) {
  stage_ = next;
  pending_call_ = numbers_.Next();
  now.Count(counter::kStoreCalls);
  now.Emit(call_store{*pending_call_, std::move(request)});
}

void registration::OnGranted(step& now, const store_result& result) {
  lease_ = result.lease;
  time_to_live_ = result.time_to_live;
  renew_at_ = now.now() + time_to_live_ / kRenewalsPerLease;
  // The key may still be attached to the lease of an earlier run, so write it
  // again.
  stored_value_.clear();
  StartNextCall(now);
}

// After a conflict the answer holds the current entry of the key: this very
// record, if the answer to its first write was lost, or that of an earlier run.
void registration::OnWritten(step& now, const store_result& result) {
  if (result.status == store_status::kDone) {
    stored_value_ = pending_value_;
    revision_ = result.revision;
    return StartNextCall(now);
  }
  revision_ = result.entries.empty() ? store_revision()
                                     : result.entries.front().revision;
  stored_value_.clear();
  StartNextCall(now);
}

void registration::OnRenewed(step& now, const store_result&) {
  renew_at_ = now.now() + time_to_live_ / kRenewalsPerLease;
  StartNextCall(now);
}

void registration::RetryLater(step& now) {
  const duration delay = RetryDelay(now, kRetryBackoff, failures_);
  ++failures_;
  now.timers().Subscribe({timer_owner::kRegistration}, now.now() + delay);
}

}  // namespace auburnfold
