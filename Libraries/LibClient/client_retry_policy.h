#ifndef LIBCLIENT_CLIENT_RETRY_POLICY_H_
#define LIBCLIENT_CLIENT_RETRY_POLICY_H_

#include <chrono>
#include <optional>

#include "LibClient/call_result.h"
#include "LibClient/client_call.h"

namespace auburnfold {

/// Returns the delay before `call` may be retried after an attempt that ended
/// with `result`, or nothing if it must not be retried.
std::optional<std::chrono::milliseconds> ClientRetryDelay(
    const client_call& call,
    const call_result& result);

}  // namespace auburnfold

#endif  // LIBCLIENT_CLIENT_RETRY_POLICY_H_
