#ifndef LIBDECISION_STORE_BACKOFF_H_
#define LIBDECISION_STORE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "LibDecision/event_context.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Exponential backoff between attempts of a failing call.
struct backoff_policy {
  duration initial{};
  duration max{};
  std::uint32_t max_doublings = 0;
};

/// `backoff.initial`, doubled this many times and limited to `backoff.max`.
/// Jitter shortens it by up to half, so that nodes that failed together do not
/// retry together.
inline duration BackoffDelay(event_context& context,
                             const backoff_policy& backoff,
                             std::uint32_t doublings) {
  const std::uint32_t capped_doublings =
      std::min(doublings, backoff.max_doublings);
  const duration delay =
      std::min(backoff.initial * (1U << capped_doublings), backoff.max);
  return std::chrono::duration_cast<duration>(
      delay * (0.5 + context.RandomFraction() / 2));
}

}  // namespace auburnfold

#endif  // LIBDECISION_STORE_BACKOFF_H_
