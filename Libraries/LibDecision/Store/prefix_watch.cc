#include "LibDecision/Store/prefix_watch.h"

#include <algorithm>
#include <chrono>

#include "LibDecision/Store/watch_duration.h"

namespace auburnfold {

namespace {

// Changes follow each other if the watch that receives the next one has lasted
// at most this long.
constexpr duration kSuccessiveChangeTime = std::chrono::seconds(2);
constexpr std::uint32_t kMaxDelayDoublings = 4;

// A watch from before a change that cannot be read would be answered with it
// again at once.
bool HasChanges(const store_result& result) {
  return !result.entries.empty() || !result.unreadable.empty();
}

}  // namespace

void prefix_watch::Refresh(event_context& context) {
  needs_listing_ = true;
  if (!watch_call_) {
    List(context);
  }
}

void prefix_watch::ShortenDelay(event_context& context) {
  if (watch_call_ || list_call_ || is_failing()) {
    return;
  }
  successive_changes_ = 0;
  context.timers().Schedule({options_.owner},
                            context.now() + options_.delay_after_change);
}

void prefix_watch::RetryNow(event_context& context) {
  if (is_failing() && !list_call_ && !watch_call_) {
    List(context);
  }
}

void prefix_watch::OnStoreEraChanged(event_context& context) {
  watch_call_.reset();
  list_call_.reset();
  context.timers().Cancel({options_.owner});
  List(context);
}

bool prefix_watch::OnStoreAnswered(event_context& context,
                                   const store_answered& answer,
                                   std::optional<prefix_update>& update) {
  const bool is_list = answer.call == list_call_;
  const bool is_watch = answer.call == watch_call_;
  if (!is_list && !is_watch) {
    return false;
  }
  const bool is_done = answer.result.status == store_status::kDone;
  if (is_done && (is_list || HasChanges(answer.result))) {
    update =
        prefix_update{answer.result.entries, answer.result.unreadable, is_list};
    if (is_list) {
      update->requested_at = list_requested_at_;
    }
  }
  if (is_list) {
    OnListed(context, answer.result);
  } else {
    OnWatched(context, answer.result);
  }
  return true;
}

void prefix_watch::OnTimer(event_context& context) {
  if (needs_listing_ || !revision_) {
    return List(context);
  }
  Watch(context);
}

void prefix_watch::List(event_context& context) {
  if (list_call_) {
    return;
  }
  needs_listing_ = false;
  list_call_ = call_ids_.Next();
  list_requested_at_ = context.elapsed_now();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*list_call_, store_list{options_.prefix}});
}

void prefix_watch::Watch(event_context& context) {
  if (watch_call_ || list_call_) {
    return;
  }
  watch_call_ = call_ids_.Next();
  watched_since_ = context.now();
  context.Count(counter::kStoreCalls);
  // Random, since all watches that receive a change begin again together.
  const duration longest = LongestWatch(node_count_, options_.min_wait);
  const auto wait = options_.min_wait + std::chrono::duration_cast<duration>(
                                            (longest - options_.min_wait) *
                                            context.RandomFraction());
  context.Emit(
      call_store{*watch_call_, store_watch{options_.prefix, *revision_, wait}});
}

void prefix_watch::OnListed(event_context& context,
                            const store_result& result) {
  list_call_.reset();
  if (result.status != store_status::kDone) {
    return OnFailed(context, false);
  }
  listed_at_ = context.now();
  revision_ = result.revision;
  OnAnswered(context, false);
}

// A watch that returned no changes may have missed some, so the next one starts
// from the same revision.
void prefix_watch::OnWatched(event_context& context,
                             const store_result& result) {
  watch_call_.reset();
  if (result.status != store_status::kDone) {
    return OnFailed(context, result.status == store_status::kHistoryGone);
  }
  const bool has_changes = HasChanges(result);
  if (has_changes) {
    revision_ = result.revision;
  }
  OnAnswered(context, has_changes);
}

void prefix_watch::OnAnswered(event_context& context, bool has_changes) {
  failures_ = 0;
  store_answered_at_ = context.now();
  if (needs_listing_ ||
      context.now() - listed_at_ >= options_.relist_interval) {
    return List(context);
  }
  if (has_changes && options_.delay_after_change > duration::zero()) {
    context.timers().Schedule({options_.owner},
                              context.now() + DelayAfterChange(context.now()));
    return;
  }
  Watch(context);
}

duration prefix_watch::DelayAfterChange(instant now) {
  const bool is_successive = now - watched_since_ <= kSuccessiveChangeTime;
  successive_changes_ =
      is_successive ? std::min(successive_changes_ + 1, kMaxDelayDoublings) : 0;
  const duration max_delay = std::max(
      options_.delay_after_change,
      std::min(options_.max_delay_after_change,
               options_.max_delay_per_node * static_cast<int>(node_count_)));
  return std::min(options_.delay_after_change * (1U << successive_changes_),
                  max_delay);
}

// A listing is answered at once or not at all, so it detects earlier than a
// watch that the store is available again. If only the store's history is gone,
// the store itself works and the listing follows without a delay.
void prefix_watch::OnFailed(event_context& context, bool is_history_gone) {
  needs_listing_ = true;
  context.Count(counter::kStoreFailures);
  ++failures_;
  if (is_history_gone && failures_ == 1) {
    return List(context);
  }
  context.timers().Schedule(
      {options_.owner},
      context.now() + BackoffDelay(context, options_.retry_backoff, failures_));
}

}  // namespace auburnfold
