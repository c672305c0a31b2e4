#ifndef LIBDECISION_ADMISSION_SERVICE_TIMES_H_
#define LIBDECISION_ADMISSION_SERVICE_TIMES_H_

#include <cstdint>
#include <unordered_map>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// How long requests of each class take at the own endpoint.
class service_times {
 public:
  /// A request took `own_time` until its first deeper call or its end.
  void OnOwn(const class_name& request_class, duration own_time);
  /// A request took `whole_time` until its end.
  void OnWhole(const class_name& request_class, duration whole_time);
  /// Multiplies every expected own time by `factor`.
  void Rescale(double factor);

  /// Time until the first deeper call or the end with free slots; zero while it
  /// is not known.
  duration ExpectedOwn(const class_name& request_class) const;
  /// Time that most requests need at least, deeper calls included; zero while
  /// it is not known.
  duration ShortestWhole(const class_name& request_class) const;

 private:
  struct class_times {
    std::uint32_t own_samples = 0;
    std::uint32_t whole_samples = 0;
    double own_ns = 0;
    double whole_ns = 0;
    double whole_deviation_ns = 0;
  };
  class_times& TimesOf(const class_name& request_class);

  std::unordered_map<class_name, class_times> classes_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_SERVICE_TIMES_H_
