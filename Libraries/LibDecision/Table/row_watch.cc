#include "LibDecision/Table/row_watch.h"

#include <algorithm>
#include <chrono>
#include <string_view>
#include <unordered_map>

#include "LibDecision/Store/backoff.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Watchers also list all rows regularly, because a watch does not show that the
// key-value store lost writes.
constexpr duration kListInterval = seconds(30);
constexpr backoff_policy kRetryBackoff{milliseconds(500), seconds(15), 5};
constexpr std::size_t kMaxRowsRestoredAtOnce = 64;

struct stored_row {
  store_revision revision;
  /// Empty if it cannot be read.
  std::string_view value;
};

}  // namespace

void row_watch::Start(event_context& context) {
  ListRows(context);
}

void row_watch::set_watcher(event_context& context, bool is_watcher) {
  if (is_watcher_ == is_watcher) {
    return;
  }
  is_watcher_ = is_watcher;
  if (is_watcher) {
    ListRows(context);
  }
}

std::vector<table_row> row_watch::OnStoreAnswered(event_context& context,
                                                  const store_answered& answer,
                                                  const row_set& local_rows) {
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
    OnWatchResult(context, answer.result);
    return rows;
  }
  if (answer.result.status == store_status::kDone && is_watcher_) {
    RestoreLostRows(context, answer.result, local_rows);
  }
  OnListResult(context, answer.result);
  return rows;
}

void row_watch::OnTimer(event_context& context, std::uint64_t key) {
  if (key == kWatchTimer) {
    return WatchRows(context);
  }
  // The timer may be left from a time when this node was a watcher, as every
  // node is until it knows others.
  if (is_watcher_ || !is_listed_) {
    ListRows(context);
  }
}

void row_watch::ListRows(event_context& context) {
  if (list_call_) {
    return;
  }
  list_call_ = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*list_call_, store_list{std::string(kRowKeyPrefix)}});
}

void row_watch::OnListResult(event_context& context,
                             const store_result& result) {
  list_call_.reset();
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    ++failures_;
    if (is_watcher_ || !is_listed_) {
      ScheduleListing(context, BackoffDelay(context, kRetryBackoff, failures_));
    }
    return;
  }
  failures_ = 0;
  is_listed_ = true;
  revision_ = result.revision;
  if (is_watcher_) {
    ScheduleListing(context, kListInterval);
    WatchRows(context);
  }
}

void row_watch::WatchRows(event_context& context) {
  if (watch_call_ || !is_watcher_ || !revision_) {
    return;
  }
  watch_call_ = call_ids_.Next();
  context.Count(counter::kStoreCalls);
  context.Emit(call_store{*watch_call_,
                          store_watch{std::string(kRowKeyPrefix), *revision_}});
}

void row_watch::OnWatchResult(event_context& context,
                              const store_result& result) {
  watch_call_.reset();
  if (result.status != store_status::kDone) {
    context.Count(counter::kStoreFailures);
    ++failures_;
    context.timers().Schedule(
        {timer_owner::kTable, kWatchTimer},
        context.now() + BackoffDelay(context, kRetryBackoff, failures_));
    return;
  }
  failures_ = 0;
  // An empty result carries no usable revision: if the store was restored to an
  // earlier state, its revision is lower than the one watched so far.
  if (!result.entries.empty() || !result.unreadable.empty()) {
    revision_ = result.revision;
  }
  WatchRows(context);
}

// All rows originate from the key-value store. A row that is newer here was
// therefore accepted there and lost.
void row_watch::RestoreLostRows(event_context& context,
                                const store_result& list_result,
                                const row_set& local_rows) {
  std::unordered_map<std::string, stored_row> stored;
  for (const store_entry& entry : list_result.entries) {
    stored.emplace(entry.key, stored_row{entry.revision, entry.value});
  }
  for (const unreadable_entry& entry : list_result.unreadable) {
    stored.emplace(entry.key, stored_row{entry.revision, {}});
  }
  std::size_t restored_count = 0;
  for (const table_row& row : local_rows.All()) {
    const std::string key = RowKey(row.service, row.request_class);
    const auto found = stored.find(key);
    row_versions versions;
    store_revision revision;
    if (found != stored.end()) {
      revision = found->second.revision;
      versions = DecodeRow(key, found->second.value).value_or(row_versions{});
    }
    const bool is_lost =
        versions.empty() || versions.front().row.version < row.version;
    if (!is_lost || restored_count == kMaxRowsRestoredAtOnce) {
      continue;
    }
    ++restored_count;
    versions.insert(versions.begin(), {row, "restored"});
    versions.resize(std::min(versions.size(), kMaxStoredRowVersions));
    context.Count(counter::kStoreCalls);
    context.Count(counter::kRowsRestored);
    context.Emit(
        call_store{call_ids_.Next(),
                   store_compare_and_swap{key, EncodeRow(versions), revision}});
  }
}

void row_watch::ScheduleListing(event_context& context, duration delay) {
  context.timers().Schedule({timer_owner::kTable, kListTimer},
                            context.now() + delay);
}

}  // namespace auburnfold
