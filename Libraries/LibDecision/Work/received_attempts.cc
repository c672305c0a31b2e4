#include "LibDecision/Work/received_attempts.h"

#include <algorithm>

namespace auburnfold {

namespace {

/// Several seconds of the requests of one endpoint.
constexpr std::size_t kMaxEnded = 2048;
constexpr std::size_t kMaxWithdrawn = 512;

}  // namespace

// The sender's attempts are numbered in order, so one number stands for all
// forgotten ones before it.
void received_attempts::forgotten_attempts::Add(const attempt_key& key) {
  if (key.sender_run > run) {
    run = key.sender_run;
    last = key.attempt;
  } else if (key.sender_run == run) {
    last = std::max(last, key.attempt);
  }
}

bool received_attempts::forgotten_attempts::Covers(
    const attempt_key& key) const {
  return key.sender_run < run || (key.sender_run == run && key.attempt <= last);
}

bool received_attempts::IsCovered(const forgotten_by_sender& forgotten,
                                  const attempt_key& key) {
  const auto found = forgotten.find(key.sender);
  return found != forgotten.end() && found->second.Covers(key);
}

bool received_attempts::OnArrived(const attempt_key& key) {
  if (withdrawn_.contains(key) || IsCovered(forgotten_withdrawn_, key)) {
    return false;
  }
  received_.try_emplace(key);
  return true;
}

void received_attempts::OnEnded(instant now, const attempt_key& key) {
  const auto found = received_.find(key);
  if (found == received_.end() || found->second) {
    return;
  }
  found->second = now;
  ended_.push_back(key);
  if (ended_.size() > kMaxEnded) {
    forgotten_[ended_.front().sender].Add(ended_.front());
    received_.erase(ended_.front());
    ended_.pop_front();
  }
}

attempt_report received_attempts::Explain(instant now,
                                          const attempt_key& key,
                                          bool may_have_gone_to_earlier_run) {
  attempt_report report{.attempt = key.attempt};
  const auto found = received_.find(key);
  if (found != received_.end()) {
    const std::optional<instant>& ended = found->second;
    report.state = ended ? attempt_state::kAnswered : attempt_state::kAtWork;
    report.answered_ago = ended ? now - *ended : duration::zero();
    return report;
  }
  if (may_have_gone_to_earlier_run || IsCovered(forgotten_, key)) {
    return report;
  }
  Withdraw(key);
  report.state = attempt_state::kNeverArrived;
  return report;
}

void received_attempts::Withdraw(const attempt_key& key) {
  if (!withdrawn_.insert(key).second) {
    return;
  }
  withdrawn_order_.push_back(key);
  if (withdrawn_order_.size() > kMaxWithdrawn) {
    const attempt_key& oldest = withdrawn_order_.front();
    forgotten_withdrawn_[oldest.sender].Add(oldest);
    withdrawn_.erase(oldest);
    withdrawn_order_.pop_front();
  }
}

}  // namespace auburnfold
