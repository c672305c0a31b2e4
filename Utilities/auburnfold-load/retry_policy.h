#ifndef AUBURNFOLD_LOAD_RETRY_POLICY_H_
#define AUBURNFOLD_LOAD_RETRY_POLICY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "auburnfold-load/load_plan.h"
#include "auburnfold-load/send_verdict.h"

namespace auburnfold {

/// How long a client waits before it sends again; nothing if it gives up.
/// `jitter` in [0, 1) spreads the waits of many clients.
std::optional<std::chrono::milliseconds> WaitBeforeResend(
    const client_retries& retries,
    const load_class& called,
    const send_verdict& verdict,
    std::uint32_t sends,
    double jitter);

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_RETRY_POLICY_H_
