#include "LibDecision/Routes/route_reading.h"

namespace auburnfold {

std::string_view NameOf(route_source source) {
  switch (source) {
    case route_source::kListing:
      return "listing";
    case route_source::kWatch:
      return "watch";
    case route_source::kPeer:
      return "peer";
  }
  return "unknown";
}

}  // namespace auburnfold
