#ifndef LIBDECISION_ROUTES_ROUTE_FEED_H_
#define LIBDECISION_ROUTES_ROUTE_FEED_H_

#include <string>

#include "LibDecision/Store/prefix_watch.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"

namespace auburnfold {

/// Follows the key that holds the routes and has each new value decoded.
class route_feed {
 public:
  explicit route_feed(const std::string& key);

  void Start(event_context& context) { watch_.Start(context); }
  void OnStoreAnswered(event_context& context, const store_answered& answer);
  void OnTimer(event_context& context) { watch_.OnTimer(context); }

  /// Has the value that another node has read decoded, unless one was read
  /// here.
  void OnPeerView(event_context& context, const std::string& value);

  /// The value that was read last; empty if none was.
  const std::string& value() const { return value_; }
  /// When the key-value service last answered.
  instant heard_at() const { return watch_.store_answered_at(); }
  bool is_store_unavailable() const { return watch_.is_failing(); }

 private:
  std::string key_;
  std::string value_;
  prefix_watch watch_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_ROUTE_FEED_H_
