#ifndef LIBRUNTIME_CONNECTIONS_RESPONSE_STATUS_H_
#define LIBRUNTIME_CONNECTIONS_RESPONSE_STATUS_H_

namespace auburnfold {

// Statuses are compared by number, since Beast has no name for some of them,
// such as 103.

/// Whether a response with this status can be an answer or precede one. Those
/// beyond 599 can, as failures; to switch protocols cannot, since no request
/// asks for it.
constexpr bool IsUsableStatus(unsigned status) {
  constexpr unsigned kFirst = 100;
  constexpr unsigned kSwitchingProtocols = 101;
  return status >= kFirst && status != kSwitchingProtocols;
}

/// Whether a response with this status precedes the answer.
constexpr bool IsInterimStatus(unsigned status) {
  constexpr unsigned kFirstFinal = 200;
  return status < kFirstFinal;
}

/// Whether an answer with this status reports a failure of the server. A status
/// beyond those of HTTP does (RFC 9110, section 15).
constexpr bool IsFailureStatus(unsigned status) {
  constexpr unsigned kFirstServerError = 500;
  return status >= kFirstServerError;
}

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_RESPONSE_STATUS_H_
