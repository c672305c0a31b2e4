#ifndef LIBDECISION_WORK_NAMED_RATE_LIMIT_H_
#define LIBDECISION_WORK_NAMED_RATE_LIMIT_H_

#include <optional>

#include "LibDecision/endpoint_signals.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The rate limit that the local endpoint names, from answers that may overtake
/// each other.
///
/// A limit that is lower than the last one applies at once. A higher one, or
/// the end of the limit, applies only if the endpoint received the request
/// after the last limit was learned, since an older answer may have been made
/// before.
class named_rate_limit {
 public:
  /// The endpoint answered, at `now`, a request that was handed to it at
  /// `started`. Returns whether the limit changed.
  bool OnAnswered(instant now,
                  instant started,
                  const endpoint_signals& signals);
  /// The endpoint refused a request. A refusal may be made where the limit is
  /// not known, so it can only name a limit, not end it. Returns whether the
  /// limit changed.
  bool OnRefused(instant now, instant started, const endpoint_signals& signals);
  /// Another node says that the endpoint named `rate`. It counts until the
  /// endpoint itself has answered. Returns whether the limit changed.
  bool OnReportedByPeer(request_rate rate);
  /// Another run of the endpoint has named nothing yet.
  void Reset() { *this = {}; }

  const std::optional<request_rate>& rate() const { return rate_; }

 private:
  bool Apply(instant now, instant started, request_rate named);

  std::optional<request_rate> rate_;
  /// When an answer last named `rate_`.
  instant confirmed_at_ = instant::min();
  bool has_answered_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORK_NAMED_RATE_LIMIT_H_
