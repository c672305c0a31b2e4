#include "LibDecision/Routes/route_feed.h"

#include <chrono>
#include <optional>

namespace auburnfold {

namespace {

// A change must be in force two seconds after it was accepted, and five later
// where the service or a connection to it was disturbed. A watch that has
// silently gone deaf ends in time for that.
constexpr duration kLongestWatch = std::chrono::seconds(3);
constexpr duration kRelistInterval = std::chrono::seconds(30);
// An eighth of the two seconds in which a change must be in force.
constexpr duration kWatchPause = std::chrono::milliseconds(250);

}  // namespace

route_feed::route_feed(const std::string& key)
    : key_(key),
      watch_({.prefix = key,
              .owner = timer_owner::kRouteWatch,
              .caller = store_caller::kRouteWatch,
              .max_wait = kLongestWatch,
              .delay_after_change = kWatchPause,
              .relist_interval = kRelistInterval}) {}

void route_feed::OnStoreAnswered(event_context& context,
                                 const store_answered& answer) {
  std::optional<prefix_update> change;
  if (!watch_.OnStoreAnswered(context, answer, change) || !change) {
    return;
  }
  for (const store_entry& entry : change->entries) {
    if (entry.key == key_ && !entry.is_removed) {
      value_ = entry.value;
      context.Emit(decode_routes{entry.value});
    }
  }
}

void route_feed::OnPeerView(event_context& context, const std::string& value) {
  if (value_.empty() && !value.empty()) {
    value_ = value;
    context.Emit(decode_routes{value});
  }
}

}  // namespace auburnfold
