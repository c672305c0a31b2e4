#include "LibDecision/Store/prefix_watch.h"

#include <algorithm>
#include <chrono>

#include "LibDecision/Store/retry_delay.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;

// The delay doubles with each failure. The maximum is small enough that a node
// is up to date well within two seconds after the store is available again.
constexpr retry_pace kRetryBackoff{milliseconds(100), milliseconds(400), 2};

}  // namespace

void prefix_watch::Refresh(step& now) {
  needs_listing_ = true;
  if (!watch_call_) {
    List(now);
  }
}

bool prefix_watch::OnStoreAnswered(step& now,
                                   const store_answered& answer,
                                   std::optional<prefix_change>& change) {
  const bool is_list = answer.call == list_call_;
  const bool is_watch = answer.call == watch_call_;
  if (!is_list && !is_watch) {
    return false;
  }
  const bool is_done = answer.result.status == store_status::kDone;
  if (is_done && (is_list || !answer.result.entries.empty())) {
    change = prefix_change{answer.result.entries, is_list};
  }
  if (is_list) {
    OnListed(now, answer.result);
  } else {
    OnWatched(now, answer.result);
  }
  return true;
}

void prefix_watch::OnTimer(step& now) {
  if (needs_listing_ || !revision_) {
    return List(now);
  }
  Watch(now);
}

void prefix_watch::List(step& now) {
  if (list_call_) {
    return;
  }
  needs_listing_ = false;
  list_call_ = numbers_.Next();
  now.Count(counter::kStoreCalls);
  now.Emit(call_store{*list_call_, store_list{options_.prefix}});
}

void prefix_watch::Watch(step& now) {
  if (watch_call_ || list_call_) {
    return;
  }
  watch_call_ = numbers_.Next();
  now.Count(counter::kStoreCalls);
  now.Emit(call_store{*watch_call_, store_watch{options_.prefix, *revision_,
                                                options_.longest_wait}});
}

void prefix_watch::OnListed(step& now, const store_result& result) {
  list_call_.reset();
  if (result.status != store_status::kDone) {
    return OnFailed(now, false);
  }
  listed_at_ = now.now();
  revision_ = result.revision;
  OnAnswered(now, false);
}

// A watch that returned no changes may have missed some, so the next one starts
// from the same revision.
void prefix_watch::OnWatched(step& now, const store_result& result) {
  watch_call_.reset();
  if (result.status != store_status::kDone) {
    return OnFailed(now, result.status == store_status::kHistoryGone);
  }
  const bool has_changes = !result.entries.empty();
  if (has_changes) {
    revision_ = result.revision;
  }
  OnAnswered(now, has_changes);
}

void prefix_watch::OnAnswered(step& now, bool has_changes) {
  failures_ = 0;
  heard_at_ = now.now();
  if (needs_listing_ || now.now() - listed_at_ >= options_.relist_interval) {
    return List(now);
  }
  if (has_changes && options_.pause > duration::zero()) {
    now.timers().Subscribe({options_.owner}, now.now() + options_.pause);
    return;
  }
  Watch(now);
}

// A listing is answered at once or not at all, so it detects earlier than a
// watch that the store is available again. If only the store's history is gone,
// the store itself works and the listing follows without a delay.
void prefix_watch::OnFailed(step& now, bool is_history_gone) {
  needs_listing_ = true;
  now.Count(counter::kStoreFailures);
  ++failures_;
  if (is_history_gone && failures_ == 1) {
    return List(now);
  }
  now.timers().Subscribe({options_.owner},
                         now.now() + RetryDelay(now, kRetryBackoff, failures_));
}

}  // namespace auburnfold
