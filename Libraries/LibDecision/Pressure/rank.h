#ifndef LIBDECISION_PRESSURE_RANK_H_
#define LIBDECISION_PRESSURE_RANK_H_

#include <algorithm>
#include <cstdint>

#include "LibDecision/hash.h"
#include "LibDecision/ids.h"

namespace auburnfold {

inline constexpr std::uint8_t kHighestPriority = 7;
/// Number of ranks within one priority.
inline constexpr std::uint32_t kRanksPerPriority = 8192;
/// Fraction of each class that callers send at any admission level, so that
/// they notice when the service recovers.
inline constexpr double kProbeFraction = 0.02;

/// Position of a root request in the admission order: its priority, then a hash
/// of its id. All nodes derive the same rank for a request, so they refuse the
/// same requests.
struct rank {
  std::uint16_t value = 0;

  /// Position within the priority, 0 to `kRanksPerPriority` - 1.
  std::uint32_t within_priority() const { return value % kRanksPerPriority; }

  friend auto operator<=>(const rank&, const rank&) = default;
};

inline rank RankOf(std::uint8_t priority, const request_id& root) {
  const std::uint64_t hash = StableHash(root.value()) % kRanksPerPriority;
  const std::uint64_t bounded = std::min(priority, kHighestPriority);
  return {static_cast<std::uint16_t>(bounded * kRanksPerPriority + hash)};
}

/// Whether callers send a request of this rank at admission level `level`.
inline bool PassesLevel(rank request_rank, std::uint16_t level) {
  constexpr auto kFirstProbeRank =
      static_cast<std::uint32_t>(kRanksPerPriority * (1 - kProbeFraction));
  return request_rank.value >= level ||
         request_rank.within_priority() >= kFirstProbeRank;
}

/// Fraction of the requests of `priority` that pass `level`.
inline double PassingFraction(std::uint8_t priority, std::uint16_t level) {
  const double above =
      static_cast<double>((priority + 1) * kRanksPerPriority) - level;
  return std::clamp(above / kRanksPerPriority, kProbeFraction, 1.0);
}

}  // namespace auburnfold

#endif  // LIBDECISION_PRESSURE_RANK_H_
