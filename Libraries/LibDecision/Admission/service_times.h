#ifndef LIBDECISION_ADMISSION_SERVICE_TIMES_H_
#define LIBDECISION_ADMISSION_SERVICE_TIMES_H_

#include <cstdint>
#include <unordered_map>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Measures how long requests of each class take.
class service_times {
 public:
  /// Records the time from a request's start to its first child call or its
  /// end.
  void OnSelfTime(const class_name& request_class, duration self_time);
  /// Records the time from a request's start to its end.
  void OnTotalTime(const class_name& request_class, duration total_time);
  /// Multiplies every expected self time by `factor`.
  void Rescale(double factor);

  /// Expected time until the first child call or the end while the endpoint has
  /// free slots; zero if unknown.
  duration ExpectedSelfTime(const class_name& request_class) const;
  /// Time that most requests need at least, child calls included; zero if
  /// unknown.
  duration MinTotalTime(const class_name& request_class) const;
  /// Time that a request usually needs, child calls included; zero if unknown.
  duration ExpectedTotalTime(const class_name& request_class) const;
  /// Time within which almost all requests end, child calls included; zero if
  /// unknown.
  duration MaxTotalTime(const class_name& request_class) const;

 private:
  struct class_times {
    std::uint32_t self_samples = 0;
    std::uint32_t total_samples = 0;
    double self_ns = 0;
    double total_ns = 0;
    double total_deviation_ns = 0;
  };
  /// The mean total time, plus `deviations` times its mean deviation; zero if
  /// unknown.
  duration TotalTime(const class_name& request_class, double deviations) const;
  class_times& FindOrCreateTimes(const class_name& request_class);

  std::unordered_map<class_name, class_times> classes_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_SERVICE_TIMES_H_
