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

bool received_attempts::IsForgotten(const attempt_key& key) const {
  const auto found = forgotten_.find(key.sender);
  return found != forgotten_.end() && found->second.Covers(key);
}

// Where denials were forgotten, attempts before them that were not denied are
// taken for denied too: they are refused as not executed and sent again.
bool received_attempts::IsWithdrawn(const attempt_key& key) const {
  const auto last = forgotten_withdrawn_.find({key.sender, key.sender_run});
  return withdrawn_.contains(key) ||
         (last != forgotten_withdrawn_.end() && key.attempt <= last->second);
}

bool received_attempts::OnArrived(const attempt_key& key) {
  if (IsWithdrawn(key)) {
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
                                          bool may_have_arrived) {
  attempt_report report{.attempt = key.attempt};
  const auto found = received_.find(key);
  if (found != received_.end()) {
    const std::optional<instant>& ended = found->second;
    report.state = ended ? attempt_state::kAnswered : attempt_state::kAtWork;
    report.answered_ago = ended ? now - *ended : duration::zero();
    return report;
  }
  if (may_have_arrived || IsForgotten(key)) {
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
    attempt_id& last = forgotten_withdrawn_[{oldest.sender, oldest.sender_run}];
    last = std::max(last, oldest.attempt);
    withdrawn_.erase(oldest);
    withdrawn_order_.pop_front();
  }
}

}  // namespace auburnfold
