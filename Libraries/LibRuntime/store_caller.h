#ifndef LIBRUNTIME_STORE_CALLER_H_
#define LIBRUNTIME_STORE_CALLER_H_

#include <functional>

#include "LibDecision/store_call.h"

namespace auburnfold {

/// Receives the response of the key-value store.
using store_response_handler = std::function<void(store_result)>;

/// Sends a request to the key-value store and calls the handler exactly once,
/// on the node's io_context.
using store_caller =
    std::function<void(const store_request&, store_response_handler)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_STORE_CALLER_H_
