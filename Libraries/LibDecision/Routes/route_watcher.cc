#include "LibDecision/Routes/route_watcher.h"

#include <chrono>
#include <optional>
#include <utility>

namespace auburnfold {

namespace {

// A change must be in force three seconds after the key-value store or a
// connection to it was last disturbed. The operating system reports a
// connection that went silent within two seconds. A watch whose answer was lost
// ends by itself; the listing that replaces the first one to end in the fleet
// must arrive early enough for requests to carry the version to the others.
constexpr duration kMinWatchDuration = std::chrono::seconds(2);
constexpr duration kRelistInterval = std::chrono::seconds(60);
// This watch detects first that the store is available again. The maximum is
// small enough that a node is up to date well within two seconds after that.
constexpr backoff_policy kRetryBackoff{std::chrono::milliseconds(100),
                                       std::chrono::milliseconds(400), 2};
// An eighth of the two seconds within which a change must be in force.
constexpr duration kWatchDelay = std::chrono::milliseconds(250);
// The store tells of a change within kWatchDelay and a round trip, so a peer is
// asked only if the store has not told, or holds an older version.
constexpr duration kNewerRoutesDelay = 2 * kWatchDelay;

}  // namespace

route_watcher::route_watcher(const std::string& key)
    : key_(key),
      watch_({.prefix = key,
              .owner = timer_owner::kRouteWatch,
              .caller = store_caller::kRouteWatch,
              .min_wait = kMinWatchDuration,
              .delay_after_change = kWatchDelay,
              .retry_backoff = kRetryBackoff,
              .relist_interval = kRelistInterval}) {}

void route_watcher::OnStoreAnswered(event_context& context,
                                    const store_answered& answer) {
  std::optional<prefix_update> change;
  if (!watch_.OnStoreAnswered(context, answer, change) || !change) {
    return;
  }
  for (const unreadable_entry& entry : change->unreadable) {
    ignored_.Add(context, entry);
  }
  for (const store_entry& entry : change->entries) {
    ignored_.Remove(entry.key);
    if (entry.key == key_ && !entry.is_removed) {
      const route_source source =
          change->is_listing ? route_source::kListing : route_source::kWatch;
      context.Emit(decode_routes{entry.value,
                                 {.source = source,
                                  .revision = entry.revision,
                                  .era = answer.result.era,
                                  .read_at = context.now(),
                                  .requested_at = change->requested_at}});
    }
  }
}

void route_watcher::OnPeerVersion(event_context& context,
                                  route_version version,
                                  const node_address& peer) {
  const bool is_first = !newest_at_peers_;
  if (is_first || version > newest_at_peers_->version) {
    newest_at_peers_ = {version, peer};
  }
  if (is_first) {
    context.timers().Schedule({timer_owner::kNewerRoutes},
                              context.now() + kNewerRoutesDelay);
  }
}

void route_watcher::OnNewerRoutesTimer(event_context& context,
                                       std::optional<route_version> in_force) {
  const auto newest = std::exchange(newest_at_peers_, std::nullopt);
  if (newest && in_force < newest->version) {
    context.Emit(request_view{newest->peer});
  }
}

void route_watcher::OnPeerView(event_context& context,
                               const std::string& value) {
  if (!value.empty() && value != value_in_force_) {
    context.Emit(decode_routes{
        value, {.source = route_source::kPeer, .read_at = context.now()}});
  }
}

}  // namespace auburnfold
