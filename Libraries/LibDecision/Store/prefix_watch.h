#ifndef LIBDECISION_STORE_PREFIX_WATCH_H_
#define LIBDECISION_STORE_PREFIX_WATCH_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibDecision/event.h"
#include "LibDecision/step.h"
#include "LibDecision/store_call_numbers.h"

namespace auburnfold {

/// What a watch or a listing showed.
struct prefix_change {
  std::vector<store_entry> entries;
  /// `entries` is everything under the prefix: what is absent does not exist.
  bool is_listing = false;
};

/// How a prefix is followed.
struct prefix_watch_options {
  std::string prefix;
  timer_owner owner;
  store_caller caller;
  /// One watch call waits at most this long. A watch that silently hears
  /// nothing is replaced after it.
  duration longest_wait{};
  /// Time between a change that was seen and the next watch. Changes that come
  /// one after the other are then seen together: a change at each of n nodes
  /// would else cost n * n calls.
  duration pause{};
  /// What a watch has missed is seen at the latest after this time.
  duration relist_interval{};
};

/// Follows the keys under a prefix of the key-value service: lists them, then
/// watches for changes, and lists again when changes may have been missed.
class prefix_watch {
 public:
  explicit prefix_watch(prefix_watch_options options)
      : options_(std::move(options)), numbers_(options_.caller) {}

  void Start(step& now) { List(now); }
  /// Lists again as soon as possible.
  void Refresh(step& now);
  /// Whether `answer` belongs to this watch; `change` is set if it showed
  /// something.
  bool OnStoreAnswered(step& now,
                       const store_answered& answer,
                       std::optional<prefix_change>& change);
  void OnTimer(step& now);

  /// The first listing has arrived.
  bool is_listed() const { return revision_.has_value(); }
  /// The last call failed.
  bool is_failing() const { return failures_ > 0; }
  /// When the service last answered.
  instant heard_at() const { return heard_at_; }

 private:
  void List(step& now);
  void Watch(step& now);
  void OnListed(step& now, const store_result& result);
  void OnWatched(step& now, const store_result& result);
  void OnFailed(step& now, bool is_history_gone);
  void OnAnswered(step& now, bool has_changes);

  prefix_watch_options options_;
  store_call_numbers numbers_;
  std::optional<store_call_id> list_call_;
  std::optional<store_call_id> watch_call_;
  /// The next watch begins after it; unset until the first listing.
  std::optional<store_revision> revision_;
  instant listed_at_{};
  instant heard_at_{};
  std::uint32_t failures_ = 0;
  bool must_list_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_PREFIX_WATCH_H_
