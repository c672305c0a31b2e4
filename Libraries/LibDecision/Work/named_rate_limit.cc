#include "LibDecision/Work/named_rate_limit.h"

namespace auburnfold {

bool named_rate_limit::OnAnswered(instant now,
                                  instant started,
                                  const endpoint_signals& signals) {
  has_answered_ = true;
  const bool ends_limit = rate_ && !signals.rate_limit &&
                          !signals.has_unreadable_rate_limit &&
                          started >= confirmed_at_;
  if (ends_limit) {
    rate_.reset();
    return true;
  }
  return signals.rate_limit && Apply(now, started, *signals.rate_limit);
}

bool named_rate_limit::OnRefused(instant now,
                                 instant started,
                                 const endpoint_signals& signals) {
  has_answered_ = has_answered_ || signals.rate_limit.has_value();
  return signals.rate_limit && Apply(now, started, *signals.rate_limit);
}

bool named_rate_limit::OnReportedByPeer(request_rate rate) {
  if (has_answered_ || (rate_ && rate >= *rate_)) {
    return false;
  }
  rate_ = rate;
  return true;
}

bool named_rate_limit::Apply(instant now, instant started, request_rate named) {
  const bool is_raised = rate_ && named > *rate_;
  if (is_raised && started < confirmed_at_) {
    return false;
  }
  const bool is_changed = rate_ != named;
  rate_ = named;
  confirmed_at_ = now;
  return is_changed;
}

}  // namespace auburnfold
