#include "LibDecision/event_context.h"

#include "LibDecision/hash.h"

namespace auburnfold {

std::uint64_t event_context::Random() {
  entropy_ += kGoldenGamma;
  return MixBits(entropy_);
}

std::uint64_t event_context::RandomBelow(std::uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  return Random() % bound;
}

double event_context::RandomFraction() {
  constexpr int kMantissaBits = 53;
  constexpr double kScale = 1.0 / (std::uint64_t{1} << kMantissaBits);
  return static_cast<double>(Random() >> (64 - kMantissaBits)) * kScale;
}

}  // namespace auburnfold
