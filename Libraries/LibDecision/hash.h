#ifndef LIBDECISION_HASH_H_
#define LIBDECISION_HASH_H_

#include <cstdint>
#include <string_view>

namespace auburnfold {

/// Increment of the SplitMix64 sequence.
inline constexpr std::uint64_t kGoldenGamma = 0x9e3779b97f4a7c15;

/// Spreads the bits of `value` (the SplitMix64 finalizer).
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9;
  value = (value ^ (value >> 27)) * 0x94d049bb133111eb;
  return value ^ (value >> 31);
}

/// XXH64 hash; the result is the same on every node and in every run.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

}  // namespace auburnfold

#endif  // LIBDECISION_HASH_H_
