#ifndef LIBDECISION_ROUTES_ROUTE_READING_H_
#define LIBDECISION_ROUTES_ROUTE_READING_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// What showed a value of the route key.
enum class route_source : std::uint8_t {
  kListing,
  kWatch,
  kPeer,  ///< Another node's view.
};

/// The name of `source` in log lines.
std::string_view NameOf(route_source source);

/// How a value of the route key was read.
struct route_reading {
  route_source source = route_source::kListing;
  /// Revision and era in the key-value store; 0 if a peer showed the value.
  store_revision revision;
  store_era era;
  instant read_at;
  /// When the value was requested, on the clock of
  /// `event_context::elapsed_now`, if it was certainly the newest at that time.
  std::optional<instant> requested_at;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ROUTES_ROUTE_READING_H_
