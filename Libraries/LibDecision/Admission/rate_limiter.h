#ifndef LIBDECISION_ADMISSION_RATE_LIMITER_H_
#define LIBDECISION_ADMISSION_RATE_LIMITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// A token bucket for endpoints that name the rate at which they accept
/// requests.
///
/// Load pattern: an endpoint in need names a rate far below what it receives at
/// that moment. What it received above the rate in the second before counts as
/// debt, which is repaid within a few seconds by starting fewer requests than
/// the rate allows, so that the mean over these seconds keeps the rate too.
/// The bucket is small, so that no burst follows an idle time.
class rate_limiter {
 public:
  /// Sets or changes the limit; unset ends it.
  void SetRate(instant now, std::optional<request_rate> rate);
  const std::optional<request_rate>& rate() const { return rate_; }

  /// Whether one more request may start.
  bool HasToken(instant now) const;
  /// A request was started, whether or not there was a token.
  void OnStarted(instant now);
  /// When the next request may start, if none starts before; `now` if it may
  /// start already.
  instant NextTokenAt(instant now) const;
  /// Requests per second that may start at present; unset without a limit.
  std::optional<request_rate> CurrentRate(instant now) const;
  /// Whether at least half of the bucket is unused, so that the rate is not
  /// fully used at present.
  bool HasReserve(instant now) const;

 private:
  struct bucket {
    /// Negative while requests were started without a token.
    double tokens = 0;
    double debt = 0;
  };

  static constexpr std::size_t kSlotCount = 10;

  bucket BucketAt(instant now) const;
  double RefillPerSecond() const;
  double Capacity() const;
  void AdvanceHistory(instant now);
  double StartedInLastSecond(instant now);

  std::optional<request_rate> rate_;
  bucket bucket_;
  double repayment_per_second_ = 0;
  instant updated_at_{};
  /// Requests started in each tenth of the last second, the newest at
  /// `newest_slot_`.
  std::array<std::uint32_t, kSlotCount> started_{};
  std::int64_t newest_slot_ = 0;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_RATE_LIMITER_H_
