#include "LibDecision/Table/row_watch.h"

#include <algorithm>
#include <chrono>
#include <unordered_map>

#include "LibDecision/Store/backoff.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A watch does not show that the service lost writes; a list does.
constexpr duration kListInterval = seconds(30);
constexpr backoff_policy kRetryPace{milliseconds(500), seconds(15), 5};
constexpr std::size_t kMostRestoredAtOnce = 64;

}  // namespace

void row_watch::Start(event_context& context) {
  List(context);
}

void row_watch::set_watcher(event_context& context, bool is_watcher) {
  if (is_watcher_ == is_watcher) {
    return;
  }
  is_watcher_ = is_watcher;
  if (is_watcher) {
    List(context);
  }
}

std::vector<table_row> row_watch::OnStoreAnswered(event_context& context,
                                                  const store_answered& answer,
                                                  const row_set& own) {
  const bool is_list = answer.call == list_call_;
  const bool is_watch = answer.call == watch_call_;
  if (!is_list && !is_watch) {
    return {};
  }
  std::vector<table_row> rows;
  for (const store_entry& entry : answer.result.entries) {
    if (const auto versions = DecodeRow(entry.key, entry.value)) {
      rows.push_back(versions->front().row);
    }
  }
  if (is_watch) {
    OnWatched(context, answer.result);
    return rows;
  }
  if (answer.result.status == store_status::kDone && is_watcher_) {
    RestoreLostRows(context, answer.result, own);
  }
  OnListed(context, answer.result);
  return rows;
}

void row_watch::OnTimer(event_context& context, std::uint64_t key) {
  if (key == kWatchTimer) {
    return Watch(context);
  }
  // Every node watches while it knows of no other, and plans to list again.
  if (is_watcher_ || !is_listed_) {
    List(context);
  }
}

void row_watch::List(event_context& context) {
  if (list_call_) {
    return;
  }
  list_call_ = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*list_call_, store_list{std::string(kTablePrefix)}});
}

void row_watch::OnListed(event_context& context, const store_result& result) {
  list_call_.reset();
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    ++failures_;
    if (is_watcher_ || !is_listed_) {
      ListLater(context, BackoffDelay(context, kRetryPace, failures_));
    }
    return;
  }
  failures_ = 0;
  is_listed_ = true;
  revision_ = result.revision;
  if (is_watcher_) {
    ListLater(context, kListInterval);
    Watch(context);
  }
}

void row_watch::Watch(event_context& context) {
  if (watch_call_ || !is_watcher_ || !revision_) {
    return;
  }
  watch_call_ = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*watch_call_,
                          store_watch{std::string(kTablePrefix), *revision_}});
}

void row_watch::OnWatched(event_context& context, const store_result& result) {
  watch_call_.reset();
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    ++failures_;
    context.timers().Schedule(
        {timer_owner::kTable, kWatchTimer},
        context.now() + BackoffDelay(context, kRetryPace, failures_));
    return;
  }
  failures_ = 0;
  // A watch that saw nothing says nothing of the service's revision, which is
  // lower than before if the service was restored.
  if (!result.entries.empty()) {
    revision_ = result.revision;
  }
  Watch(context);
}

// Rows come only from the service, so a row that is newer here was accepted
// there and lost.
void row_watch::RestoreLostRows(event_context& context,
                                const store_result& listed,
                                const row_set& own) {
  std::unordered_map<std::string, const store_entry*> stored;
  for (const store_entry& entry : listed.entries) {
    stored.emplace(entry.key, &entry);
  }
  std::size_t restored = 0;
  for (const table_row& row : own.All()) {
    const std::string key = RowKey(row.service, row.request_class);
    const auto found = stored.find(key);
    row_versions versions;
    store_revision revision;
    if (found != stored.end()) {
      revision = found->second->revision;
      versions = DecodeRow(key, found->second->value).value_or(row_versions{});
    }
    const bool is_lost =
        versions.empty() || versions.front().row.version < row.version;
    if (!is_lost || restored == kMostRestoredAtOnce) {
      continue;
    }
    ++restored;
    versions.insert(versions.begin(), {row, "restored"});
    versions.resize(std::min(versions.size(), kKeptRowVersions));
    context.Count(counter::kStoreCalls);
    context.Count(counter::kRowsRestored);
    context.Emit(
        call_store{call_ids_.Next(),
                   store_compare_and_swap{key, EncodeRow(versions), revision}});
  }
}

void row_watch::ListLater(event_context& context, duration delay) {
  context.timers().Schedule({timer_owner::kTable, kListTimer},
                            context.now() + delay);
}

}  // namespace auburnfold
