#ifndef LIBDECISION_STORE_WATCH_DURATION_H_
#define LIBDECISION_STORE_WATCH_DURATION_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "LibDecision/instant.h"

namespace auburnfold {

/// Time between the ends of two watches of the same prefix, over all nodes.
inline constexpr duration kWatchEndInterval = std::chrono::milliseconds(300);
/// The store ends each watch after this time.
inline constexpr duration kMaxWatchDuration = std::chrono::seconds(30);

/// The longest that one of `node_count` nodes may watch a prefix, at least
/// `shortest`. A watch that no longer receives changes is noticed when it ends;
/// one that ends at another node in the meantime shows the change there, and
/// requests between nodes carry it on. So the fleet makes the same number of
/// calls whatever its size, up to the longest watch of the store.
inline duration LongestWatch(std::size_t node_count, duration shortest) {
  return std::max(shortest,
                  std::min(kMaxWatchDuration,
                           kWatchEndInterval * static_cast<int>(node_count)));
}

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_WATCH_DURATION_H_
