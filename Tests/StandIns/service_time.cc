#include "StandIns/service_time.h"

namespace auburnfold {

duration service_time::Next() {
  switch (shape_) {
    case service_time_shape::kFixed:
      return mean_;
    case service_time_shape::kExponential: {
      std::exponential_distribution<double> unit(1.0);
      return std::chrono::duration_cast<duration>(mean_ * unit(random_));
    }
  }
  return mean_;
}

}  // namespace auburnfold
