#include "LibDecision/Table/row_watch.h"

#include <algorithm>
#include <chrono>
#include <unordered_map>

#include "LibDecision/Store/retry_delay.h"

namespace auburnfold {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Watchers also list all rows regularly, because a watch does not show that the
// key-value store lost writes.
constexpr duration kListInterval = seconds(30);
constexpr retry_pace kRetryPace{milliseconds(500), seconds(15), 5};
constexpr std::size_t kMaxRowsRestoredAtOnce = 64;

}  // namespace

void row_watch::Start(step& now) {
  ListRows(now);
}

void row_watch::set_watcher(step& now, bool is_watcher) {
  if (is_watcher_ == is_watcher) {
    return;
  }
  is_watcher_ = is_watcher;
  if (is_watcher) {
    ListRows(now);
  }
}

std::vector<table_row> row_watch::OnStoreAnswered(step& now,
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
    OnWatchResult(now, answer.result);
    return rows;
  }
  if (answer.result.status == store_status::kDone && is_watcher_) {
    RestoreLostRows(now, answer.result, local_rows);
  }
  OnListResult(now, answer.result);
  return rows;
}

void row_watch::OnTimer(step& now, std::uint64_t key) {
  if (key == kWatchTimer) {
    return WatchRows(now);
  }
  // The timer may be left from a time when this node was a watcher, as every
  // node is until it knows others.
  if (is_watcher_ || !is_listed_) {
    ListRows(now);
  }
}

void row_watch::ListRows(step& now) {
  if (list_call_) {
    return;
  }
  list_call_ = numbers_.Next();
  now.Count(counter::kStoreCalls);
  now.Emit(call_store{*list_call_, store_list{std::string(kRowKeyPrefix)}});
}

void row_watch::OnListResult(step& now, const store_result& result) {
  list_call_.reset();
  if (result.status != store_status::kDone) {
    now.Count(counter::kStoreFailures);
    ++failures_;
    if (is_watcher_ || !is_listed_) {
      ScheduleListing(now, RetryDelay(now, kRetryPace, failures_));
    }
    return;
  }
  failures_ = 0;
  is_listed_ = true;
  revision_ = result.revision;
  if (is_watcher_) {
    ScheduleListing(now, kListInterval);
    WatchRows(now);
  }
}

void row_watch::WatchRows(step& now) {
  if (watch_call_ || !is_watcher_ || !revision_) {
    return;
  }
  watch_call_ = numbers_.Next();
  now.Count(counter::kStoreCalls);
  now.Emit(call_store{*watch_call_,
                      store_watch{std::string(kRowKeyPrefix), *revision_}});
}

void row_watch::OnWatchResult(step& now, const store_result& result) {
  watch_call_.reset();
  if (result.status != store_status::kDone) {
    now.Count(counter::kStoreFailures);
    ++failures_;
    now.timers().Subscribe({timer_owner::kTable, kWatchTimer},
                           now.now() + RetryDelay(now, kRetryPace, failures_));
    return;
  }
  failures_ = 0;
  // An empty result carries no usable revision: if the store was restored to an
  // earlier state, its revision is lower than the one watched so far.
  if (!result.entries.empty()) {
    revision_ = result.revision;
  }
  WatchRows(now);
}

// All rows originate from the key-value store. A row that is newer here was
// therefore accepted there and lost.
void row_watch::RestoreLostRows(step& now,
                                const store_result& list_result,
                                const row_set& local_rows) {
  std::unordered_map<std::string, const store_entry*> stored;
  for (const store_entry& entry : list_result.entries) {
    stored.emplace(entry.key, &entry);
  }
  std::size_t restored_count = 0;
  for (const table_row& row : local_rows.All()) {
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
    if (!is_lost || restored_count == kMaxRowsRestoredAtOnce) {
      continue;
    }
    ++restored_count;
    versions.insert(versions.begin(), {row, "restored"});
    versions.resize(std::min(versions.size(), kMaxStoredRowVersions));
    now.Count(counter::kStoreCalls);
    now.Count(counter::kRowsRestored);
    now.Emit(
        call_store{numbers_.Next(),
                   store_compare_and_swap{key, EncodeRow(versions), revision}});
  }
}

void row_watch::ScheduleListing(step& now, duration delay) {
  now.timers().Subscribe({timer_owner::kTable, kListTimer}, now.now() + delay);
}

}  // namespace auburnfold
