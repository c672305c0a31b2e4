#ifndef LIBDECISION_ROUTES_ROUTE_WATCHER_H_
#define LIBDECISION_ROUTES_ROUTE_WATCHER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "LibDecision/Store/ignored_entries.h"
#include "LibDecision/Store/prefix_watch.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"

namespace auburnfold {

/// Watches the key that holds the routes and requests the decoding of each new
/// value.
class route_watcher {
 public:
  explicit route_watcher(const std::string& key);

  void Start(event_context& context) { watch_.Start(context); }
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  void OnStoreEraChanged(event_context& context) {
    watch_.OnStoreEraChanged(context);
  }
  void OnTimer(event_context& context) { watch_.OnTimer(context); }
  /// The number of nodes that watch the routes.
  void set_node_count(std::size_t node_count) {
    watch_.set_node_count(node_count);
  }

  /// The node at `peer` uses `version`. If this node does not learn of it from
  /// the key-value store in time, it requests the view of that node.
  void OnPeerVersion(event_context& context,
                     route_version version,
                     const node_address& peer);
  /// `in_force` is the version that this node uses.
  void OnNewerRoutesTimer(event_context& context,
                          std::optional<route_version> in_force);
  /// Requests the decoding of a value that another node uses.
  void OnPeerView(event_context& context, const std::string& value);
  /// `value` was decoded and is in force now.
  void OnTaken(std::string value) { value_in_force_ = std::move(value); }

  /// The value of the routes in force; empty if there are none.
  const std::string& value_in_force() const { return value_in_force_; }
  /// When the key-value store last answered.
  instant store_answered_at() const { return watch_.store_answered_at(); }
  /// Whether the last call to the key-value store failed.
  bool is_store_unavailable() const { return watch_.is_failing(); }

 private:
  std::string key_;
  struct peer_version {
    route_version version;
    node_address peer;
  };

  std::string value_in_force_;
  /// The newest version that peers were heard to use since the last request of
  /// a view.
  std::optional<peer_version> newest_at_peers_;
  prefix_watch watch_;
  ignored_entries ignored_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_ROUTE_WATCHER_H_
