#ifndef LIBDECISION_RETRIES_RETRY_DECISION_H_
#define LIBDECISION_RETRIES_RETRY_DECISION_H_

#include <cstdint>
#include <string_view>

namespace auburnfold {

/// Whether a failed attempt is retried, or why not.
enum class retry_decision : std::uint8_t {
  kAllowed,
  kNotRetryable,  ///< It may have been executed and must not be again, its
                  ///< deadline has passed, or another endpoint would also fail.
  kTooManyAttempts,  ///< The call has reached its maximum number of attempts.
  kAllowanceExhausted,  ///< The call tree of the root request has no retries
                        ///< left.
  kServiceOverloaded,   ///< The service as a whole is overloaded.
  kBudgetExhausted,     ///< The retry budget is spent or reserved for other
                        ///< retries.
};

/// The name of `decision` in log lines.
std::string_view NameOf(retry_decision decision);

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_DECISION_H_
