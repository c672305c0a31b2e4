#ifndef LIBRUNTIME_STORE_CALLER_H_
#define LIBRUNTIME_STORE_CALLER_H_

#include <functional>

#include "LibDecision/store_call.h"

namespace auburnfold {

/// Takes the answer of the key-value service.
using store_answer_handler = std::function<void(store_result)>;

/// Calls the key-value service and hands its answer over exactly once, on the
/// node's io_context.
using store_caller =
    std::function<void(const store_request&, store_answer_handler)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_STORE_CALLER_H_
