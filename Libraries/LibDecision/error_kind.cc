#include "LibDecision/error_kind.h"

#include <cstddef>

namespace auburnfold {

namespace {

using enum error_kind;
using enum execution_state;

// A kind is retryable only if the request was certainly not executed. The retry
// policy additionally allows retries of idempotent requests.
constexpr std::array<error_traits, kErrorKindCount> kTraits{{
    {kMalformedRequest, "malformed-request", 400, kNotExecuted, false,
     retry_advice::kNever},
    {kRequestTooLarge, "request-too-large", 413, kNotExecuted, false,
     retry_advice::kNever},
    {kHeaderTooLarge, "header-too-large", 431, kNotExecuted, false,
     retry_advice::kNever},
    {kUnknownService, "unknown-service", 404, kNotExecuted, false,
     retry_advice::kNever},
    {kUnknownClass, "unknown-class", 404, kNotExecuted, false,
     retry_advice::kNever},
    {kUnknownRoute, "unknown-route", 404, kNotExecuted, false,
     retry_advice::kNever},
    {kNoRoutes, "no-routes", 503, kNotExecuted, false,
     retry_advice::kAfterFixedDelay},
    {kDeadlineMissing, "deadline-missing", 400, kNotExecuted, false,
     retry_advice::kNever},
    {kDeadlineExpired, "deadline-expired", 504, kNotExecuted, false,
     retry_advice::kNever},
    {kOverloaded, "overloaded", 503, kNotExecuted, true,
     retry_advice::kAfterPressureDelay},
    {kRateLimited, "rate-limited", 503, kNotExecuted, true,
     retry_advice::kAfterPressureDelay},
    {kQueueDeadline, "queue-deadline", 503, kNotExecuted, false,
     retry_advice::kAfterPressureDelay},
    {kTenantOverShare, "tenant-over-share", 429, kNotExecuted, false,
     retry_advice::kAfterPressureDelay},
    {kUnknownApiKey, "unknown-api-key", 401, kNotExecuted, false,
     retry_advice::kNever},
    {kApiKeysOutdated, "api-keys-outdated", 503, kNotExecuted, false,
     retry_advice::kAfterFixedDelay},
    {kQuotaExceeded, "quota-exceeded", 429, kNotExecuted, false,
     retry_advice::kAfterPressureDelay},
    {kNoEndpoint, "no-endpoint", 503, kNotExecuted, true,
     retry_advice::kAfterFixedDelay},
    {kEndpointLeaving, "endpoint-leaving", 503, kNotExecuted, true,
     retry_advice::kAfterFixedDelay},
    {kEndpointBusy, "endpoint-busy", 503, kNotExecuted, true,
     retry_advice::kAfterPressureDelay},
    {kEndpointReplaced, "endpoint-replaced", 503, kNotExecuted, true,
     retry_advice::kAfterFixedDelay},
    {kQuarantined, "quarantined", 503, kNotExecuted, false,
     retry_advice::kNever},
    {kIsolated, "isolated", 503, kNotExecuted, true,
     retry_advice::kAfterFixedDelay},
    {kNodeStopping, "node-stopping", 503, kNotExecuted, true,
     retry_advice::kAfterFixedDelay},
    {kCallerGone, "caller-gone", 499, kUnknown, false, retry_advice::kNever},
    {kKeyNotIssued, "key-not-issued", 428, kNotExecuted, false,
     retry_advice::kNever},
    {kKeyExpired, "key-expired", 410, kUnknown, false, retry_advice::kNever},
    {kKeyHomeGone, "key-home-gone", 410, kUnknown, false, retry_advice::kNever},
    {kKeyInProgress, "key-in-progress", 409, kUnknown, false,
     retry_advice::kAfterFixedDelay},
    {kKeyMemoryFull, "key-memory-full", 503, kNotExecuted, false,
     retry_advice::kAfterPressureDelay},
    {kEndpointUnreachable, "endpoint-unreachable", 502, kNotExecuted, true,
     retry_advice::kAfterFixedDelay},
    {kEndpointCrashed, "endpoint-crashed", 502, kUnknown, false,
     retry_advice::kNever},
    {kAnswerLost, "answer-lost", 502, kUnknown, false, retry_advice::kNever},
    {kAnswerTruncated, "answer-truncated", 502, kUnknown, false,
     retry_advice::kNever},
    {kAnswerTooLarge, "answer-too-large", 502, kExecuted, false,
     retry_advice::kNever},
    {kAnswerTimeout, "answer-timeout", 504, kUnknown, false,
     retry_advice::kNever},
    {kInternal, "internal", 500, kUnknown, false, retry_advice::kNever},
}};

constexpr bool AreTraitsInKindOrder() {
  for (std::size_t i = 0; i < kTraits.size(); ++i) {
    if (static_cast<std::size_t>(kTraits[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(AreTraitsInKindOrder());

}  // namespace

const error_traits& TraitsOf(error_kind kind) {
  return kTraits[static_cast<std::size_t>(kind)];
}

std::optional<error_kind> ParseErrorKind(std::string_view name) {
  for (const error_traits& traits : kTraits) {
    if (traits.name == name) {
      return traits.kind;
    }
  }
  return std::nullopt;
}

std::string_view NameOf(execution_state state) {
  switch (state) {
    case execution_state::kNotExecuted:
      return "not-run";
    case execution_state::kUnknown:
      return "unknown";
    case execution_state::kExecuted:
      return "ran";
  }
  return "unknown";
}

}  // namespace auburnfold
