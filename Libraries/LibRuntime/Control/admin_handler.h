#ifndef LIBRUNTIME_CONTROL_ADMIN_HANDLER_H_
#define LIBRUNTIME_CONTROL_ADMIN_HANDLER_H_

#include <functional>

#include "LibDecision/admin_call.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// Sends the response to one HTTP request. Called exactly once, during the
/// handler's call or later.
using admin_response_callback = std::function<void(http_response)>;

/// Handles a request to the admin port whose path the node does not serve
/// itself. Returns false if the administration API has no such path.
using admin_handler =
    std::function<bool(const http_request&, admin_response_callback)>;

/// Receives the reducer's result of an administration request.
using admin_result_handler = std::function<void(admin_result)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_ADMIN_HANDLER_H_
