#include "LibDecision/Routes/route_watcher.h"

#include <chrono>
#include <optional>

namespace auburnfold {

namespace {

// A change must be in force two seconds after it was accepted, or five seconds
// later if the key-value store or a connection to it was disturbed. A watch
// that silently receives nothing is replaced early enough for that.
constexpr duration kMaxWatchDuration = std::chrono::seconds(3);
constexpr duration kRelistInterval = std::chrono::seconds(30);
// An eighth of the two seconds within which a change must be in force.
constexpr duration kWatchDelay = std::chrono::milliseconds(250);

}  // namespace

route_watcher::route_watcher(const std::string& key)
    : key_(key),
      watch_({.prefix = key,
              .owner = timer_owner::kRouteWatch,
              .caller = store_caller::kRouteWatch,
              .longest_wait = kMaxWatchDuration,
              .pause = kWatchDelay,
              .relist_interval = kRelistInterval}) {}

void route_watcher::OnStoreAnswered(step& now, const store_answered& answer) {
  std::optional<prefix_change> change;
  if (!watch_.OnStoreAnswered(now, answer, change) || !change) {
    return;
  }
  for (const store_entry& entry : change->entries) {
    if (entry.key == key_ && !entry.is_removed) {
      value_ = entry.value;
      now.Emit(decode_routes{entry.value});
    }
  }
}

void route_watcher::OnToldBy(step& now, const std::string& value) {
  if (value_.empty() && !value.empty()) {
    value_ = value;
    now.Emit(decode_routes{value});
  }
}

}  // namespace auburnfold
