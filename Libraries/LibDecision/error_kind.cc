#include "LibDecision/error_kind.h"

#include <cstddef>

namespace auburnfold {

namespace {

using enum error_kind;
using enum run_state;

// A kind is retryable only if the request certainly did not run. The retry
// policy additionally allows retries of idempotent requests.
constexpr std::array<error_answer, kErrorKindCount> kTraits{{
    {kMalformedRequest, "malformed-request", 400, kNotRun, false,
     come_back::kNever},
    {kRequestTooLarge, "request-too-large", 413, kNotRun, false,
     come_back::kNever},
    {kUnknownService, "unknown-service", 404, kNotRun, false,
     come_back::kNever},
    {kUnknownClass, "unknown-class", 404, kNotRun, false, come_back::kNever},
    {kUnknownRoute, "unknown-route", 404, kNotRun, false, come_back::kNever},
    {kNoRoutes, "no-routes", 503, kNotRun, false, come_back::kSoon},
    {kDeadlineMissing, "deadline-missing", 400, kNotRun, false,
     come_back::kNever},
    {kDeadlineExpired, "deadline-expired", 504, kNotRun, false,
     come_back::kNever},
    {kOverloaded, "overloaded", 503, kNotRun, true, come_back::kAfterPressure},
    {kQueueDeadline, "queue-deadline", 503, kNotRun, false,
     come_back::kAfterPressure},
    {kTenantOverShare, "tenant-over-share", 429, kNotRun, false,
     come_back::kAfterPressure},
    {kNoEndpoint, "no-endpoint", 503, kNotRun, true, come_back::kSoon},
    {kEndpointLeaving, "endpoint-leaving", 503, kNotRun, true,
     come_back::kSoon},
    {kEndpointBusy, "endpoint-busy", 503, kNotRun, true,
     come_back::kAfterPressure},
    {kEndpointReplaced, "endpoint-replaced", 503, kNotRun, true,
     come_back::kSoon},
    {kNodeStopping, "node-stopping", 503, kNotRun, true, come_back::kSoon},
    {kCallerGone, "caller-gone", 499, kUnknown, false, come_back::kNever},
    {kKeyNotIssued, "key-not-issued", 428, kNotRun, false, come_back::kNever},
    {kKeyExpired, "key-expired", 410, kUnknown, false, come_back::kNever},
    {kKeyHomeGone, "key-home-gone", 410, kUnknown, false, come_back::kNever},
    {kKeyInProgress, "key-in-progress", 409, kUnknown, false, come_back::kSoon},
    {kKeyMemoryFull, "key-memory-full", 503, kNotRun, false,
     come_back::kAfterPressure},
    {kEndpointUnreachable, "endpoint-unreachable", 502, kNotRun, true,
     come_back::kSoon},
    {kAnswerLost, "answer-lost", 502, kUnknown, false, come_back::kNever},
    {kAnswerTruncated, "answer-truncated", 502, kUnknown, false,
     come_back::kNever},
    {kAnswerTooLarge, "answer-too-large", 502, kRan, false, come_back::kNever},
    {kAnswerTimeout, "answer-timeout", 504, kUnknown, false, come_back::kNever},
    {kInternal, "internal", 500, kUnknown, false, come_back::kNever},
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

const error_answer& AnswerFor(error_kind kind) {
  return kTraits[static_cast<std::size_t>(kind)];
}

std::optional<error_kind> ErrorKindNamed(std::string_view name) {
  for (const error_answer& answer : kTraits) {
    if (answer.name == name) {
      return answer.kind;
    }
  }
  return std::nullopt;
}

std::string_view NameOf(run_state state) {
  switch (state) {
    case run_state::kNotRun:
      return "not-run";
    case run_state::kUnknown:
      return "unknown";
    case run_state::kRan:
      return "ran";
  }
  return "unknown";
}

}  // namespace auburnfold
