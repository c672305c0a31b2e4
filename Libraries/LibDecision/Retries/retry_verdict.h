#ifndef LIBDECISION_RETRIES_RETRY_VERDICT_H_
#define LIBDECISION_RETRIES_RETRY_VERDICT_H_

#include <cstdint>
#include <string_view>

namespace auburnfold {

/// Whether a failed attempt is tried again, or why not.
enum class retry_verdict : std::uint8_t {
  kAllowed,
  kUseless,         ///< It may have run and must not again, its deadline has
                    ///< passed, or no other endpoint would do better.
  kTooManyTries,    ///< As many attempts as one call may make.
  kNoAllowance,     ///< The tree of its root request has none left.
  kServiceRefuses,  ///< The service refuses as a whole.
  kNoShare,         ///< What the service bears is spent or kept for others.
};

/// The name of `verdict` in log lines.
std::string_view NameOf(retry_verdict verdict);

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_VERDICT_H_
