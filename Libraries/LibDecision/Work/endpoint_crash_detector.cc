#include "LibDecision/Work/endpoint_crash_detector.h"

#include <chrono>
#include <cstddef>
#include <utility>

namespace auburnfold {

namespace {

// An endpoint that crashed reports again within a few seconds.
constexpr duration kLostAnswerMemory = std::chrono::seconds(5);
constexpr std::size_t kMaxLostAnswers = 256;

}  // namespace

// The requests that were at work end one after the other, all of them started
// before the crash.
bool endpoint_crash_detector::OnCrashed(instant now, instant started) {
  lost_answers_.clear();
  if (crashed_at_ && started <= *crashed_at_) {
    return false;
  }
  crashed_at_ = now;
  return true;
}

void endpoint_crash_detector::OnAnswerLost(instant now, request_digest digest) {
  if (lost_answers_.size() >= kMaxLostAnswers) {
    lost_answers_.erase(lost_answers_.begin());
  }
  lost_answers_.push_back({now, digest});
}

std::vector<request_digest> endpoint_crash_detector::OnReplaced(instant now) {
  std::vector<request_digest> lost;
  for (const lost_answer& each : std::exchange(lost_answers_, {})) {
    if (now - each.at <= kLostAnswerMemory) {
      lost.push_back(each.digest);
    }
  }
  return lost;
}

}  // namespace auburnfold
