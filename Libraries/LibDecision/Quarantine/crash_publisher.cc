#include "LibDecision/Quarantine/crash_publisher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibDecision/Quarantine/crash_codec.h"
#include "LibDecision/Store/backoff.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;

// As for the record of a node: it is there well within two seconds after the
// store is available again.
constexpr backoff_policy kRetryBackoff{milliseconds(100), milliseconds(800), 3};

}  // namespace

void crash_publisher::Publish(event_context& context,
                              crash_id crash,
                              duration delay) {
  const auto [waiting, is_new] = waiting_.emplace(crash, context.now() + delay);
  if (!is_new) {
    waiting->second = std::min(waiting->second, context.now() + delay);
  }
  StartNextCall(context);
}

// Another node may have written the same record while it waited here.
void crash_publisher::OnStored(instant now,
                               const crash_record& stored,
                               store_revision revision) {
  revisions_[stored.id] = revision;
  const crash_record known = ledger_.RecordOf(now, stored.id);
  if (known.suspects == stored.suspects) {
    waiting_.erase(stored.id);
  }
}

void crash_publisher::OnStoreAnswered(event_context& context,
                                      const store_answered& answer) {
  if (!pending_ || answer.call != pending_->call) {
    return;
  }
  switch (answer.result.status) {
    case store_status::kUnavailable:
    case store_status::kUnknown:
    case store_status::kHistoryGone:
    case store_status::kLeaseExpired:
      context.Count(counter::kStoreFailures);
      return RetryLater(context, std::exchange(pending_, std::nullopt)->crash);
    case store_status::kDone:
    case store_status::kConflict:
      break;
  }
  if (!pending_->lease) {
    pending_->lease = answer.result.lease;
    return Write(context);
  }
  OnWritten(context, answer.result);
}

void crash_publisher::StartNextCall(event_context& context) {
  if (pending_ || waiting_.empty()) {
    return;
  }
  const auto next = std::min_element(waiting_.begin(), waiting_.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second < right.second;
                                     });
  const instant due = std::max(next->second, not_before_);
  if (due > context.now()) {
    return context.timers().Schedule({timer_owner::kCrashRecords}, due);
  }
  const crash_record record = ledger_.RecordOf(context.now(), next->first);
  waiting_.erase(next);
  if (record.time_left <= duration::zero()) {
    return StartNextCall(context);
  }
  pending_ = pending_write{.crash = record.id};
  Send(context, store_grant_lease{record.time_left});
}

void crash_publisher::Write(event_context& context) {
  pending_->written = ledger_.RecordOf(context.now(), pending_->crash);
  const auto revision = revisions_.find(pending_->crash);
  pending_->expected =
      revision == revisions_.end() ? store_revision() : revision->second;
  Send(context, store_compare_and_swap{CrashKey(pending_->crash),
                                       EncodeCrash(pending_->written),
                                       pending_->expected, *pending_->lease});
}

void crash_publisher::Send(event_context& context, store_request request) {
  pending_->call = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{pending_->call, std::move(request)});
}

// After a conflict the answer holds the current record. If it names fewer
// suspects, this node needs to write nothing. What another writer left there is
// overwritten; if not even its revision can be read, not at once.
void crash_publisher::OnWritten(event_context& context,
                                const store_result& result) {
  const pending_write written = *std::exchange(pending_, std::nullopt);
  if (result.status == store_status::kDone) {
    failures_ = 0;
    revisions_[written.crash] = result.revision;
    return StartNextCall(context);
  }
  context.Emit(call_store{call_ids_.Next(), store_end_lease{*written.lease}});
  revisions_.erase(written.crash);
  for (const unreadable_entry& entry : result.unreadable) {
    revisions_[written.crash] = entry.revision;
  }
  for (const store_entry& entry : result.entries) {
    revisions_[written.crash] = entry.revision;
    const auto stored = DecodeCrash(entry.key, entry.value);
    if (stored) {
      ledger_.Add(context.now(), *stored);
      if (ledger_.RecordOf(context.now(), written.crash).suspects ==
          stored->suspects) {
        failures_ = 0;
        return StartNextCall(context);
      }
    }
  }
  const auto current = revisions_.find(written.crash);
  const bool has_moved =
      written.expected !=
      (current == revisions_.end() ? store_revision() : current->second);
  if (!has_moved) {
    return RetryLater(context, written.crash);
  }
  Publish(context, written.crash, duration::zero());
}

void crash_publisher::RetryLater(event_context& context, crash_id crash) {
  not_before_ = context.now() + BackoffDelay(context, kRetryBackoff, failures_);
  ++failures_;
  Publish(context, crash, duration::zero());
}

}  // namespace auburnfold
