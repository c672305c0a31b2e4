#include "leased_store.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

namespace auburnfold {

namespace {

// The client of the store learns after this time at the latest that a
// connection has gone silent: one second idle, and one for the probe's answer.
constexpr duration kKeepaliveTimeout = std::chrono::seconds(2);

}  // namespace

void leased_store::Call(instant now,
                        const store_request& request,
                        reply_function reply) {
  if (outage_ == outage_kind::kSilent) {
    return;
  }
  if (outage_) {
    return reply({.status = store_status::kUnavailable});
  }
  if (const auto* list = std::get_if<store_list>(&request)) {
    return reply(Finish(Listing(list->prefix)));
  }
  if (const auto* get = std::get_if<store_get>(&request)) {
    return reply(Finish(Listing(get->key)));
  }
  if (const auto* watch = std::get_if<store_watch>(&request)) {
    const bool is_gone = watch->after.value() < oldest_revision_ ||
                         watch->after.value() > revision_;
    if (is_gone) {
      return reply(Finish({.status = store_status::kHistoryGone}));
    }
    watches_.push_back({*watch, std::move(reply), now + watch->max_wait});
    return WakeWatches();
  }
  if (const auto* write = std::get_if<store_compare_and_swap>(&request)) {
    return reply(Finish(Write(*write)));
  }
  if (const auto* renewal = std::get_if<store_renew_lease>(&request)) {
    const bool is_alive = renewal->lease.value() >= oldest_lease_;
    return reply(Finish(
        {.status = is_alive ? store_status::kDone : store_status::kLeaseExpired,
         .time_to_live = std::chrono::seconds(9)}));
  }
  reply(Finish({.lease = store_lease(next_lease_++),
                .time_to_live = std::chrono::seconds(9)}));
}

void leased_store::Pass(instant now) {
  now_ = now;
  std::vector<waiting_watch> ended;
  std::erase_if(watches_, [&](const waiting_watch& watch) {
    const bool is_over = watch.silent_since
                             ? *watch.silent_since + kKeepaliveTimeout <= now
                             : watch.ends_at <= now;
    if (is_over) {
      ended.push_back(watch);
    }
    return is_over;
  });
  for (const waiting_watch& watch : ended) {
    watch.reply(watch.silent_since
                    ? store_result{.status = store_status::kUnavailable}
                    : Finish({}));
  }
}

void leased_store::WriteRoutes(const std::string& value) {
  operator_value_ = value;
  Put({.key = route_key_, .value = value});
}

void leased_store::BeginOutage(outage_kind kind) {
  outage_ = kind;
  switch (kind) {
    case outage_kind::kRefuses:
      return CutWatches();
    case outage_kind::kSilent:
      return SilenceConnections();
    case outage_kind::kPaused:
      return;
  }
}

void leased_store::EndOutage(std::uint64_t writes_lost) {
  outage_.reset();
  if (writes_lost == 0) {
    return;
  }
  ++era_;
  oldest_lease_ = next_lease_;
  revision_ -= std::min(writes_lost, revision_);
  std::erase_if(changes_, [this](const change& made) {
    return made.revision > revision_;
  });
  entries_.clear();
  for (const change& made : changes_) {
    entries_[made.entry.key] = made.entry;
  }
}

void leased_store::WriteElsewhere(int count) {
  for (int i = 0; i < count; ++i) {
    Put({.key = "elsewhere"});
  }
}

void leased_store::SilenceConnections() {
  for (waiting_watch& watch : watches_) {
    watch.silent_since = watch.silent_since.value_or(now_);
  }
}

void leased_store::ForgetHistory() {
  is_deaf_ = false;
  oldest_revision_ = revision_;
  CutWatches();
}

store_result leased_store::Write(const store_compare_and_swap& write) {
  if (write.lease.value() != 0 && write.lease.value() < oldest_lease_) {
    return {.status = store_status::kLeaseExpired};
  }
  const auto found = entries_.find(write.key);
  const store_revision current =
      found == entries_.end() ? store_revision() : found->second.revision;
  if (current != write.expected) {
    store_result conflict{.status = store_status::kConflict};
    if (found != entries_.end()) {
      conflict.entries.push_back(found->second);
    }
    return conflict;
  }
  Put({.key = write.key, .value = write.value});
  return {.entries = {entries_.at(write.key)}};
}

void leased_store::Put(const store_entry& entry) {
  store_entry written = entry;
  written.revision = store_revision(++revision_);
  entries_[written.key] = written;
  changes_.push_back({written, revision_});
  WakeWatches();
}

store_result leased_store::Listing(const std::string& prefix) const {
  store_result listing;
  for (const auto& [key, entry] : entries_) {
    if (key.starts_with(prefix)) {
      listing.entries.push_back(entry);
    }
  }
  return listing;
}

std::vector<store_entry> leased_store::ChangesAfter(
    const store_watch& wanted) const {
  std::vector<store_entry> found;
  for (const change& made : changes_) {
    const bool is_wanted = made.entry.key.starts_with(wanted.prefix) &&
                           made.revision > wanted.after.value();
    if (is_wanted) {
      found.push_back(made.entry);
    }
  }
  return found;
}

void leased_store::WakeWatches() {
  if (is_deaf_ || outage_) {
    return;
  }
  std::vector<waiting_watch> woken;
  std::erase_if(watches_, [&](const waiting_watch& watch) {
    const bool is_due =
        !watch.silent_since && !ChangesAfter(watch.wanted).empty();
    if (is_due) {
      woken.push_back(watch);
    }
    return is_due;
  });
  for (const waiting_watch& watch : woken) {
    watch.reply(Finish({.entries = ChangesAfter(watch.wanted)}));
  }
}

void leased_store::CutWatches() {
  for (const waiting_watch& watch : std::exchange(watches_, {})) {
    if (!watch.silent_since) {
      watch.reply({.status = store_status::kUnavailable});
    }
  }
}

store_result leased_store::Finish(store_result result) const {
  result.revision = store_revision(revision_);
  result.era = store_era(era_);
  return result;
}

}  // namespace auburnfold
