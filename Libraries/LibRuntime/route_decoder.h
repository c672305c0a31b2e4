#ifndef LIBRUNTIME_ROUTE_DECODER_H_
#define LIBRUNTIME_ROUTE_DECODER_H_

#include <functional>
#include <optional>
#include <string>

#include "LibDecision/Routes/route.h"

namespace auburnfold {

/// Parses the routes from the value of the store's route key; nothing if the
/// value is not valid.
using route_decoder =
    std::function<std::optional<route_config>(const std::string& value)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_ROUTE_DECODER_H_
