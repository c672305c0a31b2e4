#ifndef LIBDECISION_STORE_PREFIX_WATCH_H_
#define LIBDECISION_STORE_PREFIX_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibDecision/Store/backoff.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/store_call_id_generator.h"

namespace auburnfold {

/// The result of a watch or a listing.
struct prefix_update {
  std::vector<store_entry> entries;
  std::vector<unreadable_entry> unreadable;
  /// This is everything under the prefix: a key that is not in it does not
  /// exist.
  bool is_listing = false;
  /// When a listing was requested, on the clock of
  /// `event_context::elapsed_now`; unset for a watch, which waits for changes.
  std::optional<instant> requested_at;
};

/// How a prefix is watched.
struct prefix_watch_options {
  std::string prefix;
  timer_owner owner;
  store_caller caller;
  /// Minimum duration of a watch call that receives no change.
  duration min_wait{};
  /// Time between a change and the next watch, so that successive changes are
  /// received together. Without it, one change at each of n nodes would cost
  /// n * n calls. While changes follow each other, it doubles up to the
  /// maximum, which grows with the number of nodes.
  duration delay_after_change{};
  duration max_delay_per_node{};
  duration max_delay_after_change{};
  /// Between attempts of a call that fails.
  backoff_policy retry_backoff;
  /// Maximum time until changes that a watch missed are noticed.
  duration relist_interval{};
};

/// Watches the keys under a prefix of the key-value store: lists them, then
/// watches for changes, and lists them again if changes may have been missed.
class prefix_watch {
 public:
  explicit prefix_watch(prefix_watch_options options)
      : options_(std::move(options)), call_ids_(options_.caller) {}

  void Start(event_context& context) { List(context); }
  /// The number of nodes that watch the same prefix, which determines how long
  /// a watch may last.
  void set_node_count(std::size_t node_count) { node_count_ = node_count; }
  /// Lists again as soon as possible.
  void Refresh(event_context& context);
  /// Changes that follow the last one are urgent: ends a prolonged delay.
  void ShortenDelay(event_context& context);
  /// The store is available again: makes a call that waits for its retry.
  void RetryNow(event_context& context);
  /// The store has lost writes: lists again at once and ignores the answers to
  /// earlier calls.
  void OnStoreEraChanged(event_context& context);
  /// Returns whether `answer` belongs to this watch. Sets `update` if the
  /// answer is a listing or contains changes.
  bool OnStoreAnswered(event_context& context,
                       const store_answered& answer,
                       std::optional<prefix_update>& update);
  void OnTimer(event_context& context);

  /// Whether the first listing has arrived.
  bool is_listed() const { return revision_.has_value(); }
  /// Whether the last call failed.
  bool is_failing() const { return failures_ > 0; }
  /// When the store last answered.
  instant store_answered_at() const { return store_answered_at_; }

 private:
  void List(event_context& context);
  void Watch(event_context& context);
  void OnListed(event_context& context, const store_result& result);
  void OnWatched(event_context& context, const store_result& result);
  void OnFailed(event_context& context, bool is_history_gone);
  void OnAnswered(event_context& context, bool has_changes);
  duration DelayAfterChange(instant now);

  prefix_watch_options options_;
  store_call_id_generator call_ids_;
  std::optional<store_call_id> list_call_;
  std::optional<store_call_id> watch_call_;
  /// The next watch reports changes after this revision; unset until the first
  /// listing.
  std::optional<store_revision> revision_;
  instant list_requested_at_{};
  instant listed_at_{};
  instant store_answered_at_{};
  std::size_t node_count_ = 1;
  std::uint32_t failures_ = 0;
  /// When the last watch began, and how many in a row ended with a change soon
  /// after.
  instant watched_since_{};
  std::uint32_t successive_changes_ = 0;
  bool needs_listing_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_PREFIX_WATCH_H_
