#ifndef LIBRUNTIME_ADMIN_HANDLER_H_
#define LIBRUNTIME_ADMIN_HANDLER_H_

#include <functional>

#include "LibDecision/admin_call.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

/// Answers one HTTP request, now or later, exactly once.
using admin_response_callback = std::function<void(http_response)>;

/// Serves the administration API: takes a request at the admin port that is
/// none of the node's own; false if it has no such path.
using admin_handler =
    std::function<bool(const http_request&, admin_response_callback)>;

/// Takes the reducer's answer to an administration request.
using admin_result_handler = std::function<void(admin_result)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_ADMIN_HANDLER_H_
