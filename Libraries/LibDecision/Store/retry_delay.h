#ifndef LIBDECISION_STORE_RETRY_DELAY_H_
#define LIBDECISION_STORE_RETRY_DELAY_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "LibDecision/event_context.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Exponential backoff of failed calls.
struct retry_pace {
  duration first{};
  duration longest{};
  std::uint32_t most_doublings = 0;
};

/// The delay after this number of doublings. Jitter shortens it by up to half,
/// so that nodes that failed together do not retry together.
inline duration RetryDelay(event_context& context,
                           const retry_pace& pace,
                           std::uint32_t doublings) {
  const std::uint32_t capped_doublings =
      std::min(doublings, pace.most_doublings);
  const duration longest =
      std::min(pace.first * (1U << capped_doublings), pace.longest);
  return std::chrono::duration_cast<duration>(
      longest * (0.5 + context.RandomFraction() / 2));
}

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_RETRY_DELAY_H_
