#ifndef LIBRUNTIME_ROUTE_DECODER_H_
#define LIBRUNTIME_ROUTE_DECODER_H_

#include <functional>
#include <optional>
#include <string>

#include "LibDecision/Routes/route.h"

namespace auburnfold {

/// Reads routes from the value under the route key; nothing if it makes no
/// sense.
using route_decoder =
    std::function<std::optional<route_config>(const std::string& value)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_ROUTE_DECODER_H_
