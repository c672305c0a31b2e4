#include "LibDecision/step.h"

#include "LibDecision/hash.h"

namespace auburnfold {

std::uint64_t step::Random() {
  entropy_ += kGoldenGamma;
  return Mix(entropy_);
}

std::uint64_t step::RandomBelow(std::uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  return Random() % bound;
}

double step::RandomShare() {
  constexpr int kMantissaBits = 53;
  constexpr double kScale = 1.0 / (std::uint64_t{1} << kMantissaBits);
  return static_cast<double>(Random() >> (64 - kMantissaBits)) * kScale;
}

}  // namespace auburnfold
