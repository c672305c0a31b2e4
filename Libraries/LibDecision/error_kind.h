#ifndef LIBDECISION_ERROR_KIND_H_
#define LIBDECISION_ERROR_KIND_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>

namespace auburnfold {

/// Every way in which a call can end other than with a whole answer.
enum class error_kind : std::uint8_t {
  kMalformedRequest,
  kRequestTooLarge,
  kUnknownService,
  kUnknownClass,
  kUnknownRoute,
  kNoRoutes,
  kDeadlineMissing,
  kDeadlineExpired,
  kOverloaded,
  kQueueDeadline,
  kTenantOverShare,
  kNoEndpoint,
  kEndpointLeaving,
  kEndpointBusy,
  kEndpointReplaced,
  kNodeStopping,
  kCallerGone,
  kKeyNotIssued,
  kKeyExpired,
  kKeyHomeGone,
  kKeyInProgress,
  kKeyMemoryFull,
  kEndpointUnreachable,
  kAnswerLost,
  kAnswerTruncated,
  kAnswerTooLarge,
  kAnswerTimeout,
  kInternal,
};

inline constexpr std::size_t kErrorKindCount =
    static_cast<std::size_t>(error_kind::kInternal) + 1;

/// What the caller may conclude about this send of the request.
enum class run_state : std::uint8_t {
  kNotRun,   ///< The endpoint never saw it, or refused before any work.
  kUnknown,  ///< It may have run.
  kRan,      ///< The endpoint answered it.
};

/// When a caller that gave up should come back.
enum class come_back : std::uint8_t {
  kNever,          ///< The same request cannot succeed.
  kAfterPressure,  ///< After the delay that the current pressure suggests.
  kSoon,           ///< After a short fixed delay.
};

/// What a caller is told for one kind of error.
struct error_answer {
  error_kind kind;
  std::string_view name;  ///< As in the `Auburnfold-Result` header.
  std::uint16_t http_status;
  run_state ran;
  /// Another attempt is allowed without knowing whether the work is
  /// idempotent.
  bool is_retryable;
  come_back when;
};

/// The row for `kind`. Every kind has exactly one.
const error_answer& AnswerFor(error_kind kind);

/// The kind whose `name` is `name`, or nothing.
std::optional<error_kind> ErrorKindNamed(std::string_view name);

/// The value of the `Auburnfold-Ran` header: `not-run`, `unknown` or `ran`.
std::string_view NameOf(run_state state);

}  // namespace auburnfold

#endif  // LIBDECISION_ERROR_KIND_H_
