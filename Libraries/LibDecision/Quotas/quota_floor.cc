#include "LibDecision/Quotas/quota_floor.h"

#include <algorithm>
#include <cmath>

namespace auburnfold {

namespace {

constexpr duration kMaxDelay = std::chrono::seconds(5);

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

}  // namespace

quota_floor::quota_floor(instant now,
                         const tenant_quota& limit,
                         std::size_t node_count,
                         double phase)
    : rate_(limit.rate.value() / static_cast<double>(node_count)),
      burst_(limit.burst / static_cast<double>(node_count)),
      level_(phase),
      refilled_at_(now) {}

bool quota_floor::TryTake(instant now) {
  Refill(now);
  if (level_ < 1) {
    return false;
  }
  level_ -= 1;
  used_ += 1;
  return true;
}

void quota_floor::Charge(std::uint32_t admitted) {
  level_ -= std::max(admitted - burst_, 0.0);
}

std::uint32_t quota_floor::Debt(instant now) {
  Refill(now);
  return static_cast<std::uint32_t>(
      std::lround(used_ + std::max(-level_, 0.0)));
}

duration quota_floor::NextAfter() const {
  const double seconds = std::min((1 - level_) / rate_, Seconds(kMaxDelay));
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::max(seconds, 0.0)));
}

// A part whose burst is below one request holds a request only for the time in
// which the rate adds up to the burst. Otherwise each of many idle nodes would
// hold one, and together they would exceed the burst.
void quota_floor::Refill(instant now) {
  const double elapsed = Seconds(now - refilled_at_);
  level_ += rate_ * elapsed;
  used_ *= std::exp(-elapsed);
  refilled_at_ = now;
  if (burst_ >= 1) {
    level_ = std::min(level_, burst_);
    return;
  }
  if (level_ >= 1 + burst_) {
    const double rest = level_ - std::floor(level_);
    level_ = rest < burst_ ? 1 + rest : rest;
  }
}

}  // namespace auburnfold
