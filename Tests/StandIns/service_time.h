#ifndef STANDINS_SERVICE_TIME_H_
#define STANDINS_SERVICE_TIME_H_

#include <cstdint>
#include <random>

#include "LibDecision/instant.h"

namespace auburnfold {

enum class service_time_shape : std::uint8_t { kFixed, kExponential };

/// A seeded series of service times.
class service_time {
 public:
  service_time(service_time_shape shape, duration mean, std::uint64_t seed)
      : shape_(shape), mean_(mean), random_(seed) {}

  duration Next();

 private:
  service_time_shape shape_;
  duration mean_;
  std::mt19937_64 random_;
};

}  // namespace auburnfold

#endif  // STANDINS_SERVICE_TIME_H_
