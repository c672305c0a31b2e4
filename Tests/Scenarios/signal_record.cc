#include "signal_record.h"

#include <algorithm>
#include <chrono>

namespace auburnfold::scenarios {

namespace {

using namespace std::chrono_literals;

/// Requests are counted in every span of this length.
constexpr duration kWindow = 4s;
/// A limit is checked from this long after the endpoint first named it.
constexpr duration kSettlingTime = 3s;
/// A node is bound by an answer that it relayed this long ago.
constexpr duration kNoticeTime = 500ms;
constexpr double kToleratedFactor = 1.5;
constexpr double kToleratedExtra = 5;
/// Time in which requests may still be sent to a leaving endpoint.
constexpr duration kLeavingTime = 2s;

}  // namespace

void signal_record::OnSignalsChanged(std::size_t machine,
                                     const endpoint_signals& signals,
                                     instant now) {
  endpoint_record& endpoint = endpoints_[machine];
  if (!signals.rate_limit) {
    endpoint.named_since.reset();
    endpoint.rates.clear();
    std::erase_if(told_rate_at_, [machine](const auto& told) {
      return told.first.second == machine;
    });
    return;
  }
  if (!endpoint.named_since) {
    endpoint.named_since = now;
  }
  endpoint.rates.push_back({now, signals.rate_limit->value()});
}

void signal_record::OnRelayed(std::size_t origin,
                              std::size_t machine,
                              const endpoint_signals& signals,
                              instant now) {
  if (signals.rate_limit && endpoints_[machine].named_since) {
    told_rate_at_.emplace(route{origin, machine}, now);
  }
  if (signals.is_leaving) {
    told_leave_at_.emplace(route{origin, machine}, now);
  }
}

void signal_record::OnNodeRestarted(std::size_t machine) {
  const auto is_origin = [machine](const auto& told) {
    return told.first.first == machine;
  };
  std::erase_if(told_rate_at_, is_origin);
  std::erase_if(told_leave_at_, is_origin);
}

void signal_record::OnRun(std::size_t machine,
                          std::size_t origin,
                          instant sent,
                          instant now) {
  endpoint_record& endpoint = endpoints_[machine];
  endpoint.arrivals.push_back({now, origin});
  while (now - endpoint.arrivals.front().at >= kWindow) {
    endpoint.arrivals.pop_front();
  }
  if (IsOverRate(machine, endpoint, now)) {
    ++runs_over_rate_;
  }
  const auto told = told_leave_at_.find({origin, machine});
  if (told != told_leave_at_.end() && sent - told->second > kLeavingTime) {
    ++runs_after_leave_;
  }
}

bool signal_record::IsOverRate(std::size_t machine,
                               const endpoint_record& endpoint,
                               instant now) const {
  if (!endpoint.named_since || now - *endpoint.named_since < kSettlingTime) {
    return false;
  }
  const auto is_bound = [&](const arrival& each) {
    const auto told = told_rate_at_.find({each.origin, machine});
    return told != told_rate_at_.end() && now - told->second >= kNoticeTime;
  };
  const auto bound_arrivals = std::count_if(endpoint.arrivals.begin(),
                                            endpoint.arrivals.end(), is_bound);
  return static_cast<double>(bound_arrivals) > AllowedArrivals(endpoint, now);
}

// Before the endpoint named a rate, the first one it named counts.
double signal_record::AllowedArrivals(const endpoint_record& endpoint,
                                      instant now) {
  double allowed = 0;
  instant until = now;
  const instant window_start = now - kWindow;
  for (auto rate = endpoint.rates.rbegin(); rate != endpoint.rates.rend();
       ++rate) {
    const bool is_first = std::next(rate) == endpoint.rates.rend();
    const instant from =
        is_first ? window_start : std::max(window_start, rate->since);
    allowed +=
        rate->per_second * std::chrono::duration<double>(until - from).count();
    until = from;
    if (until <= window_start) {
      break;
    }
  }
  return kToleratedFactor * allowed + kToleratedExtra;
}

}  // namespace auburnfold::scenarios
