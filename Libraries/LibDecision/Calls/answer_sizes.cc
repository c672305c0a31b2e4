#include "LibDecision/Calls/answer_sizes.h"

#include <algorithm>
#include <cstddef>

namespace auburnfold {

namespace {

constexpr std::size_t kMaxClasses = 256;
// A peak is forgotten over some hundred smaller answers.
constexpr std::uint64_t kDecayDivisor = 256;
// Room for the header, also of an answer without a body.
constexpr std::uint64_t kOverheadBytes = 1024;

}  // namespace

void answer_sizes::OnAnswer(const class_name& request_class,
                            std::uint64_t body_bytes) {
  if (peaks_.size() >= kMaxClasses && !peaks_.contains(request_class)) {
    peaks_.clear();
  }
  std::uint64_t& peak = peaks_[request_class];
  peak = std::max(body_bytes, peak - peak / kDecayDivisor);
}

std::uint64_t answer_sizes::ExpectedSize(
    const class_name& request_class) const {
  const auto found = peaks_.find(request_class);
  return found == peaks_.end()
             ? kMaxAnswerBytes
             : std::min(found->second + kOverheadBytes, kMaxAnswerBytes);
}

}  // namespace auburnfold
