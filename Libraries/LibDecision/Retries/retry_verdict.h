#ifndef LIBDECISION_RETRIES_RETRY_VERDICT_H_
#define LIBDECISION_RETRIES_RETRY_VERDICT_H_

#include <cstdint>
#include <string_view>

namespace auburnfold {

/// Whether a failed attempt is retried, or why not.
enum class retry_verdict : std::uint8_t {
  kAllowed,
  kUseless,         ///< It may have run and must not run again, its deadline
                    ///< has passed, or another endpoint would also fail.
  kTooManyTries,    ///< The call has reached its maximum number of attempts.
  kNoAllowance,     ///< The call tree of the root request has no retries left.
  kServiceRefuses,  ///< The service as a whole is overloaded.
  kNoShare,  ///< The retry budget is spent or reserved for other retries.
};

/// The name of `verdict` in log lines.
std::string_view NameOf(retry_verdict verdict);

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_VERDICT_H_
