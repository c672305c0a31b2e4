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
constexpr duration kTimeToLive = std::chrono::seconds(9);
constexpr int kRenewalsPerLease = 3;
// The delay doubles with each failure. The maximum is small enough that the
// record is restored within two seconds after the store is available again.
constexpr retry_pace kRetryPace{milliseconds(100), milliseconds(800), 3};

}  // namespace

void registration::Publish(step& now, const member_record& record) {
  node_ = record.node;
  wanted_ = EncodeMember(record);
  Advance(now);
}

void registration::OnSeen(step& now,
                          const std::string& value,
                          store_revision revision) {
  if (call_ || revision <= revision_) {
    return;
  }
  revision_ = revision;
  written_ = value;
  Advance(now);
}

// The lease may have ended as well; in that case the next write fails with
// `kNoLease`.
void registration::OnMissing(step& now) {
  if (stage_ == stage::kWriting) {
    return;
  }
  written_.clear();
  revision_ = store_revision();
  Advance(now);
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
  if (answer.call != call_ || is_withdrawn_) {
    return;
  }
  call_.reset();
  const stage ended = std::exchange(stage_, stage::kIdle);
  const store_result& result = answer.result;
  if (result.status == store_status::kNoLease) {
    lease_.reset();
    written_.clear();
    return Advance(now);
  }
  const bool is_lost = result.status == store_status::kUnavailable ||
                       result.status == store_status::kUnknown;
  if (is_lost) {
    now.Count(counter::kStoreFailures);
    return RetryLater(now);
  }
  failures_ = 0;
  switch (ended) {
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
  Advance(now);
}

void registration::Advance(step& now) {
  if (call_ || wanted_.empty() || is_withdrawn_) {
    return;
  }
  if (!lease_) {
    return Call(now, stage::kGranting, store_grant_lease{kTimeToLive});
  }
  if (written_ != wanted_) {
    writing_ = wanted_;
    return Call(
        now, stage::kWriting,
        store_compare_and_swap{MemberKey(node_), wanted_, revision_, *lease_});
  }
  if (now.now() >= renew_at_) {
    return Call(now, stage::kRenewing, store_renew_lease{*lease_});
  }
  now.timers().Subscribe({timer_owner::kRegistration}, renew_at_);
}

void registration::Call(step& now, stage next, store_request request) {
  stage_ = next;
  call_ = numbers_.Next();
  now.Count(counter::kStoreCalls);
  now.Emit(call_store{*call_, std::move(request)});
}

void registration::OnGranted(step& now, const store_result& result) {
  lease_ = result.lease;
  time_to_live_ = result.time_to_live;
  renew_at_ = now.now() + time_to_live_ / kRenewalsPerLife;
  // The key may still be attached to the lease of an earlier run, so write it
  // again.
  written_.clear();
  Advance(now);
}

// After a conflict the answer holds the current entry of the key: this very
// record, if the answer to its first write was lost, or that of an earlier run.
void registration::OnWritten(step& now, const store_result& result) {
  if (result.status == store_status::kDone) {
    written_ = writing_;
    revision_ = result.revision;
    return Advance(now);
  }
  revision_ = result.entries.empty() ? store_revision()
                                     : result.entries.front().revision;
  written_.clear();
  Advance(now);
}

void registration::OnRenewed(step& now, const store_result&) {
  renew_at_ = now.now() + time_to_live_ / kRenewalsPerLife;
  Advance(now);
}

void registration::RetryLater(step& now) {
  const duration delay = RetryDelay(now, kRetryPace, failures_);
  ++failures_;
  now.timers().Subscribe({timer_owner::kRegistration}, now.now() + delay);
}

}  // namespace auburnfold
