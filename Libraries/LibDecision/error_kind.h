#ifndef LIBDECISION_ERROR_KIND_H_
#define LIBDECISION_ERROR_KIND_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnfold {

/// The ways in which a call can end without a complete answer.
enum class error_kind : std::uint8_t {
  kMalformedRequest,
  kRequestTooLarge,
  kHeaderTooLarge,
  kUnknownService,
  kUnknownClass,
  kUnknownRoute,
  kNoRoutes,
  kDeadlineMissing,
  kDeadlineExpired,
  kOverloaded,
  kRateLimited,
  kQueueDeadline,
  kTenantOverShare,
  kUnknownApiKey,
  kApiKeysOutdated,  ///< The node cannot tell whether the API key is still
                     ///< valid.
  kQuotaExceeded,
  kNoEndpoint,
  kEndpointLeaving,
  kEndpointBusy,
  kEndpointReplaced,
  kQuarantined,
  kIsolated,
  kNodeStopping,
  kCallerGone,
  kKeyNotIssued,
  kKeyExpired,
  kKeyHomeGone,
  kKeyInProgress,
  kKeyMemoryFull,
  kEndpointUnreachable,
  kEndpointCrashed,
  kAnswerLost,
  kAnswerTruncated,
  kAnswerTooLarge,
  kAnswerTimeout,
  kInternal,
};

inline constexpr std::size_t kErrorKindCount =
    static_cast<std::size_t>(error_kind::kInternal) + 1;

/// Whether an attempt of a request was executed by the endpoint.
enum class execution_state : std::uint8_t {
  kNotExecuted,  ///< Never reached the endpoint, or was refused before any
                 ///< work.
  kUnknown,      ///< The endpoint may have executed it.
  kExecuted,     ///< The endpoint executed and answered it.
};

/// When a caller should retry a request that failed.
enum class retry_advice : std::uint8_t {
  kNever,               ///< The same request cannot succeed.
  kAfterPressureDelay,  ///< After a delay that follows from the current
                        ///< pressure.
  kAfterFixedDelay,     ///< After a short fixed delay.
};

/// The properties of an error kind, as reported to the caller.
struct error_traits {
  error_kind kind;
  std::string_view name;  ///< Value of the `Auburnfold-Result` header.
  std::uint16_t http_status;
  execution_state execution;
  /// The request may be retried even if it is not idempotent.
  bool is_retryable;
  retry_advice advice;
};

/// Whether `kind` concerns requests that may crash endpoints.
constexpr bool IsAboutCrashes(error_kind kind) {
  return kind == error_kind::kEndpointCrashed ||
         kind == error_kind::kQuarantined || kind == error_kind::kIsolated;
}

/// The properties of `kind`.
const error_traits& TraitsOf(error_kind kind);

/// The kind with this name; `nullopt` if there is none.
std::optional<error_kind> ParseErrorKind(std::string_view name);

/// The value of the `Auburnfold-Ran` header: `not-run`, `unknown` or `ran`.
std::string_view NameOf(execution_state state);

}  // namespace auburnfold

#endif  // LIBDECISION_ERROR_KIND_H_
