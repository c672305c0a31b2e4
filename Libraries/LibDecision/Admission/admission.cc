#include "LibDecision/Admission/admission.h"

namespace auburnfold {

namespace {

constexpr std::uint32_t kDefaultLimit = 64;
constexpr duration kRetryAfter = std::chrono::milliseconds(200);

}  // namespace

// FIXME: The limit is fixed and there is no queue.
std::vector<admission_decision> admission::Offer(step& now,
                                                 work_id work,
                                                 const request_facts&,
                                                 const row_settings& settings) {
  const std::uint32_t limit = settings.concurrency_limit == 0
                                  ? kDefaultLimit
                                  : settings.concurrency_limit;
  if (running_ >= limit) {
    now.Count(counter::kRefusedByLimit);
    return {{work, error_kind::kOverloaded}};
  }
  ++running_;
  return {{work, std::nullopt}};
}

std::vector<admission_decision> admission::OnFinished(step&,
                                                      work_id,
                                                      const outcome&,
                                                      duration) {
  --running_;
  return {};
}

std::vector<admission_decision> admission::OnCancelled(step&, work_id) {
  --running_;
  return {};
}

std::vector<admission_decision> admission::OnTimer(step&, std::uint64_t) {
  return {};
}

void admission::Describe(const request_facts&, answer_facts& answer) const {
  answer.in_flight = running_;
  answer.retry_after = kRetryAfter;
}

}  // namespace auburnfold
