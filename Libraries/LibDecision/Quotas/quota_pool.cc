#include "LibDecision/Quotas/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace auburnfold {

namespace {

/// Bounds the reports about one tenant's quota per second, as long as the
/// interval stays below `kQuotaReportInterval`.
constexpr double kMaxReportsPerSecond = 400;
/// Requests admitted between two reports may exceed the quota until the second
/// one is answered.
constexpr duration kAmpleReportInterval = std::chrono::milliseconds(400);
constexpr duration kGrantReportInterval = std::chrono::milliseconds(40);
/// A tenant without burst still needs a bucket for the requests between two
/// reports.
constexpr double kMinCapacitySeconds = 0.1;
/// A node that is cut off for longer has a part of its own only in the view of
/// the members.
constexpr duration kReservationTime = std::chrono::seconds(20);
/// Time for a report and its answer, on top of two report intervals.
constexpr duration kSilenceMargin = std::chrono::milliseconds(200);
constexpr duration kReservationCheckInterval = std::chrono::milliseconds(100);
constexpr double kMaxRetrySeconds = 5;

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

quota_pool::quota_pool(instant now, const tenant_quota& limit, instant since)
    : limit_(limit), refilled_at_(now), counted_at_(now) {
  balance_ = std::min(limit.rate.value() * Seconds(now - since), capacity());
}

void quota_pool::SetLimit(instant now, const tenant_quota& limit) {
  Refill(now, {});
  limit_ = limit;
  balance_ = std::min(balance_, capacity());
}

quota_grant quota_pool::Take(instant now,
                             node_id from,
                             const quota_usage& usage,
                             const quota_fleet& fleet) {
  Refill(now, fleet);
  balance_ = std::min(balance_ + usage.returned, capacity());
  Charge(usage.admitted);
  const double available = std::max(std::floor(balance_), 0.0);
  const double granted = std::min<double>(usage.requested, available);
  balance_ -= granted;
  used_ += usage.admitted + granted;
  unmet_ += usage.requested - granted;
  quota_grant grant{.tenant = usage.tenant,
                    .granted = static_cast<std::uint32_t>(granted)};
  const double unreported = used_ * Seconds(kAmpleReportInterval);
  grant.is_ample = balance_ >= std::max({capacity() / 2, unreported, 1.0});
  reporter& known = reporters_[from];
  grant.report_after = ReportAfter(grant.is_ample);
  known = {now, usage.will_report_again
                    ? now + grant.report_after * 2 + kSilenceMargin
                    : instant::max()};
  if (granted < usage.requested) {
    const double missing = std::max(1 - balance_, 0.0) + unmet_;
    grant.retry_after =
        FromSeconds(std::min(missing / limit_.rate.value(), kMaxRetrySeconds));
  }
  return grant;
}

bool quota_pool::IsIdle(instant now) const {
  const double fill_time =
      (capacity() - balance_) / std::max(limit_.rate.value(), 1e-9);
  return now - refilled_at_ > kReservationTime + FromSeconds(fill_time);
}

double quota_pool::capacity() const {
  return std::max(
      {limit_.burst, limit_.rate.value() * kMinCapacitySeconds, 1.0});
}

void quota_pool::Refill(instant now, const quota_fleet& fleet) {
  if (now - counted_at_ >= kReservationCheckInterval) {
    reserved_ = ReservedShare(now, fleet);
  }
  const double elapsed = Seconds(now - refilled_at_);
  const double share = std::max(fleet.member_share - reserved_, 0.0);
  const double filled = balance_ + limit_.rate.value() * share * elapsed;
  // A silent node has a part of the burst, too.
  balance_ = std::min(filled, std::max(capacity() * share, 1.0));
  used_ *= std::exp(-elapsed);
  unmet_ *= std::exp(-elapsed);
  overflow_ = std::min(overflow_ + filled - balance_,
                       used_ * Seconds(kAmpleReportInterval));
  refilled_at_ = now;
}

// What is reported now was used before the bucket was full.
void quota_pool::Charge(std::uint32_t admitted) {
  const double from_overflow = std::min<double>(admitted, overflow_);
  overflow_ -= from_overflow;
  balance_ -= admitted - from_overflow;
}

double quota_pool::ReservedShare(instant now, const quota_fleet& fleet) {
  counted_at_ = now;
  std::erase_if(reporters_, [now](const auto& entry) {
    const reporter& known = entry.second;
    return now - known.reported_at > (known.silent_at == instant::max()
                                          ? kQuotaReportInterval
                                          : kReservationTime);
  });
  const auto silent = std::count_if(
      reporters_.begin(), reporters_.end(),
      [now](const auto& entry) { return now > entry.second.silent_at; });
  return static_cast<double>(silent) /
         static_cast<double>(std::max<std::size_t>(fleet.member_count, 1));
}

duration quota_pool::ReportAfter(bool is_ample) const {
  const duration spread = FromSeconds(static_cast<double>(reporters_.size()) /
                                      kMaxReportsPerSecond);
  return std::clamp(spread,
                    is_ample ? kAmpleReportInterval : kGrantReportInterval,
                    kQuotaReportInterval);
}

}  // namespace auburnfold
