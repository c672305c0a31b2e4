#ifndef LIBDECISION_ENDPOINT_SIGNALS_H_
#define LIBDECISION_ENDPOINT_SIGNALS_H_

#include <optional>

#include "LibDecision/ids.h"

namespace auburnfold {

/// What an endpoint says about itself in a response, whatever the request.
struct endpoint_signals {
  /// The rate at which it accepts requests from all nodes together; unset if it
  /// names none.
  std::optional<request_rate> rate_limit;
  /// It names a rate that is not a number of requests per second.
  bool has_unreadable_rate_limit = false;
  /// It takes no new requests and will end.
  bool is_leaving = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ENDPOINT_SIGNALS_H_
