#include "LibDecision/Admission/rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <numeric>

namespace auburnfold {

namespace {

/// The bucket holds what the rate allows in this time, but at least one token.
constexpr double kBucketSeconds = 0.1;
/// Only an answer tells that a limit has changed or ended, so a few requests
/// are let through whatever the endpoint names.
constexpr double kMinPerSecond = 0.5;
constexpr double kRepaymentSeconds = 3;
/// At most this fraction of the rate is used to repay debt, so that the
/// endpoint is not without requests meanwhile.
constexpr double kMaxRepaymentFraction = 0.75;
constexpr duration kSlotLength = std::chrono::milliseconds(100);
constexpr duration kMinWait = std::chrono::milliseconds(1);
constexpr duration kMaxWait = std::chrono::seconds(10);
/// Tolerates the rounding of times to nanoseconds.
constexpr double kOneToken = 1 - 1e-6;

double Seconds(duration length) {
  return std::chrono::duration<double>(length).count();
}

}  // namespace

// An endpoint may vary its limit from answer to answer, so a change never
// reduces the debt.
void rate_limiter::SetRate(instant now, std::optional<request_rate> rate) {
  if (!rate) {
    rate_.reset();
    bucket_ = {};
    return;
  }
  if (rate == rate_) {
    return;
  }
  bucket current = rate_ ? BucketAt(now) : bucket{};
  rate_ = rate;
  const double excess =
      std::max(0.0, StartedInLastSecond(now) - RefillPerSecond());
  current.debt = std::max(current.debt, excess);
  current.tokens = std::min(current.tokens, Capacity());
  repayment_per_second_ = std::min(current.debt / kRepaymentSeconds,
                                   RefillPerSecond() * kMaxRepaymentFraction);
  bucket_ = current;
  updated_at_ = now;
}

bool rate_limiter::HasToken(instant now) const {
  return !rate_ || BucketAt(now).tokens >= kOneToken;
}

void rate_limiter::OnStarted(instant now) {
  AdvanceHistory(now);
  ++started_[static_cast<std::size_t>(newest_slot_) % kSlotCount];
  if (rate_) {
    bucket_ = BucketAt(now);
    bucket_.tokens -= 1;
    updated_at_ = now;
  }
}

instant rate_limiter::NextTokenAt(instant now) const {
  if (HasToken(now)) {
    return now;
  }
  const double missing = 1 - BucketAt(now).tokens;
  const auto wait = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(missing / CurrentRate(now)->value()));
  return now + std::clamp(wait, kMinWait, kMaxWait);
}

std::optional<request_rate> rate_limiter::CurrentRate(instant now) const {
  if (!rate_) {
    return std::nullopt;
  }
  const bool has_debt = BucketAt(now).debt > 0;
  return request_rate(RefillPerSecond() -
                      (has_debt ? repayment_per_second_ : 0));
}

bool rate_limiter::HasReserve(instant now) const {
  return !rate_ || BucketAt(now).tokens >= Capacity() / 2;
}

rate_limiter::bucket rate_limiter::BucketAt(instant now) const {
  const double seconds = Seconds(now - updated_at_);
  const double repaid = std::min(bucket_.debt, repayment_per_second_ * seconds);
  const double tokens = bucket_.tokens + RefillPerSecond() * seconds - repaid;
  return {std::min(tokens, Capacity()), bucket_.debt - repaid};
}

double rate_limiter::RefillPerSecond() const {
  return std::max(rate_->value(), kMinPerSecond);
}

double rate_limiter::Capacity() const {
  return std::max(1.0, RefillPerSecond() * kBucketSeconds);
}

void rate_limiter::AdvanceHistory(instant now) {
  const std::int64_t slot = now.time_since_epoch() / kSlotLength;
  if (slot - newest_slot_ >= static_cast<std::int64_t>(kSlotCount)) {
    started_ = {};
    newest_slot_ = slot;
  }
  while (newest_slot_ < slot) {
    ++newest_slot_;
    started_[static_cast<std::size_t>(newest_slot_) % kSlotCount] = 0;
  }
}

double rate_limiter::StartedInLastSecond(instant now) {
  AdvanceHistory(now);
  return std::accumulate(started_.begin(), started_.end(), 0.0);
}

}  // namespace auburnfold
