#include "fake_store.h"

#include <utility>
#include <variant>

namespace auburnfold::scenarios {

void fake_store::Call(const store_request& request, const answer& reply) {
  ++calls_;
  if (is_down_) {
    return reply({.status = store_status::kUnavailable});
  }
  if (const auto* get = std::get_if<store_get>(&request)) {
    return reply(Read(get->key, true));
  }
  if (const auto* list = std::get_if<store_list>(&request)) {
    return reply(Read(list->prefix, false));
  }
  if (const auto* watch = std::get_if<store_watch>(&request)) {
    watches_.push_back({*watch, reply});
    return WakeWatches();
  }
  store_result written = Write(std::get<store_compare_and_swap>(request));
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    written = {.status = store_status::kUnknown};
  }
  reply(written);
  WakeWatches();
}

store_result fake_store::Read(const std::string& prefix, bool is_exact) const {
  store_result found;
  found.revision = store_revision(revision_);
  for (auto at = entries_.lower_bound(prefix);
       at != entries_.end() && at->first.starts_with(prefix); ++at) {
    if (!is_exact || at->first == prefix) {
      found.entries.push_back(at->second);
    }
  }
  return found;
}

store_result fake_store::Write(const store_compare_and_swap& write) {
  const auto found = entries_.find(write.key);
  const store_revision current =
      found == entries_.end() ? store_revision(0) : found->second.revision;
  if (current != write.expected) {
    store_result conflict = Read(write.key, true);
    conflict.status = store_status::kConflict;
    return conflict;
  }
  const store_entry made{write.key, write.value, store_revision(++revision_)};
  entries_[write.key] = made;
  return {.status = store_status::kDone,
          .entries = {made},
          .revision = store_revision(revision_)};
}

void fake_store::WakeWatches() {
  std::vector<pending_watch> waiting = std::exchange(watches_, {});
  for (pending_watch& watch : waiting) {
    store_result changed = Read(watch.wanted.prefix, false);
    std::erase_if(changed.entries, [&watch](const store_entry& entry) {
      return entry.revision <= watch.wanted.after;
    });
    if (changed.entries.empty()) {
      watches_.push_back(std::move(watch));
    } else {
      watch.reply(changed);
    }
  }
}

}  // namespace auburnfold::scenarios
