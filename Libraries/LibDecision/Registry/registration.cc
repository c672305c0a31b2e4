#include "LibDecision/Registry/registration.h"

#include <chrono>
#include <utility>

#include "LibDecision/Registry/member_codec.h"
#include "LibDecision/Store/backoff.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;

// Three renewals are due in this time, so two of them may fail. The record of a
// dead node remains for at most this time; callers eject such a node on their
// own.
constexpr duration kLeaseTimeToLive = std::chrono::seconds(9);
constexpr int kRenewalsPerLease = 3;
// The delay doubles with each failure. The maximum is small enough that the
// record is restored within two seconds after the store is available again.
constexpr backoff_policy kRetryBackoff{milliseconds(100), milliseconds(800), 3};

// The revision of the key that a write was in conflict with; 0 if it is absent.
store_revision CurrentRevision(const store_result& conflict) {
  if (!conflict.entries.empty()) {
    return conflict.entries.front().revision;
  }
  return conflict.unreadable.empty() ? store_revision()
                                     : conflict.unreadable.front().revision;
}

}  // namespace

void registration::Publish(event_context& context,
                           const member_record& record) {
  node_ = record.node;
  desired_value_ = EncodeMember(record);
  StartNextCall(context);
}

void registration::OnValueSeen(event_context& context,
                               const std::string& value,
                               store_revision revision) {
  if (pending_call_ || revision <= revision_) {
    return;
  }
  revision_ = revision;
  stored_value_ = value;
  StartNextCall(context);
}

// The lease may have ended as well; in that case the next write fails with
// `kLeaseExpired`.
void registration::OnKeyMissing(event_context& context) {
  if (stage_ == stage::kWriting) {
    return;
  }
  stored_value_.clear();
  revision_ = store_revision();
  StartNextCall(context);
}

void registration::Withdraw(event_context& context) {
  context.timers().Cancel({timer_owner::kRegistration});
  if (lease_) {
    context.Count(counter::kStoreCalls);
    context.Emit(call_store{call_ids_.Next(), store_end_lease{*lease_}});
  }
  stage_ = stage::kIdle;
  pending_call_.reset();
  lease_.reset();
  desired_value_.clear();
  stored_value_.clear();
  revision_ = store_revision();
}

void registration::OnStoreAnswered(event_context& context,
                                   const store_answered& answer) {
  if (answer.call != pending_call_) {
    return;
  }
  pending_call_.reset();
  const stage finished = std::exchange(stage_, stage::kIdle);
  const store_result& result = answer.result;
  if (result.status == store_status::kLeaseExpired) {
    lease_.reset();
    stored_value_.clear();
    return StartNextCall(context);
  }
  const bool is_store_failure = result.status == store_status::kUnavailable ||
                                result.status == store_status::kUnknown;
  if (is_store_failure) {
    context.Count(counter::kStoreFailures);
    return RetryLater(context);
  }
  if (result.status == store_status::kDone) {
    failures_ = 0;
  }
  switch (finished) {
    case stage::kIdle:
      return;
    case stage::kGranting:
      return OnGranted(context, result);
    case stage::kWriting:
      return OnWritten(context, result);
    case stage::kRenewing:
      return OnRenewed(context, result);
  }
}

// Another node may have been granted a lease with the same id since.
void registration::OnStoreEraChanged(event_context& context) {
  lease_.reset();
  stored_value_.clear();
  revision_ = store_revision();
  StartNextCall(context);
}

void registration::OnTimer(event_context& context) {
  StartNextCall(context);
}

void registration::StartNextCall(event_context& context) {
  if (pending_call_ || desired_value_.empty()) {
    return;
  }
  if (!lease_) {
    return SendRequest(context, stage::kGranting,
                       store_grant_lease{kLeaseTimeToLive});
  }
  if (stored_value_ != desired_value_) {
    pending_value_ = desired_value_;
    return SendRequest(context, stage::kWriting,
                       store_compare_and_swap{MemberKey(node_), desired_value_,
                                              revision_, *lease_});
  }
  if (context.now() >= renew_at_) {
    return SendRequest(context, stage::kRenewing, store_renew_lease{*lease_});
  }
  context.timers().Schedule({timer_owner::kRegistration}, renew_at_);
}

void registration::SendRequest(event_context& context,
                               stage next,
                               store_request request) {
  stage_ = next;
  pending_call_ = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*pending_call_, std::move(request)});
}

void registration::OnGranted(event_context& context,
                             const store_result& result) {
  lease_ = result.lease;
  time_to_live_ = result.time_to_live;
  renew_at_ = context.now() + time_to_live_ / kRenewalsPerLease;
  // The key may still be attached to the lease of an earlier run, so write it
  // again.
  stored_value_.clear();
  StartNextCall(context);
}

// After a conflict the answer holds the current entry of the key: this very
// record, if the answer to its first write was lost, that of an earlier run, or
// what another writer left there.
void registration::OnWritten(event_context& context,
                             const store_result& result) {
  if (result.status == store_status::kDone) {
    stored_value_ = pending_value_;
    revision_ = result.revision;
    return StartNextCall(context);
  }
  const store_revision expected = revision_;
  revision_ = CurrentRevision(result);
  stored_value_.clear();
  // An entry whose revision cannot be read may stand there for long.
  if (revision_ == expected) {
    return RetryLater(context);
  }
  StartNextCall(context);
}

void registration::OnRenewed(event_context& context, const store_result&) {
  renew_at_ = context.now() + time_to_live_ / kRenewalsPerLease;
  StartNextCall(context);
}

void registration::RetryLater(event_context& context) {
  const duration delay = BackoffDelay(context, kRetryBackoff, failures_);
  ++failures_;
  context.timers().Schedule({timer_owner::kRegistration},
                            context.now() + delay);
}

}  // namespace auburnfold
