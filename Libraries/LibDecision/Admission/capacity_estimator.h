#ifndef LIBDECISION_ADMISSION_CAPACITY_ESTIMATOR_H_
#define LIBDECISION_ADMISSION_CAPACITY_ESTIMATOR_H_

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Learns how many requests the local endpoint takes well at once.
///
/// Load pattern: the endpoint is full, and some of its slots are worth nothing:
/// it slows down before all are in use, or has fewer than it announces. While
/// the endpoint is full and slower than usual, the estimator tries another
/// limit for a short time and keeps the lower one if as much work is done with
/// it. A limit with which less is done is not kept, so neither slow periods nor
/// faults reduce the limit, and refusals and child calls have no influence.
class capacity_estimator {
 public:
  /// `limit` is the limit that follows from the announced slots, the maximum
  /// here; 0 if there is none.
  void SetMaxLimit(std::uint32_t limit);

  /// A request that started while `in_use` requests were at the endpoint took
  /// `self_time` without its child calls; `in_use_now` are there at its end.
  void OnSample(instant now,
                const class_name& request_class,
                std::uint32_t in_use,
                std::uint32_t in_use_now,
                duration self_time);

  /// Number of requests that may be at the endpoint now; 0 if unlimited.
  std::uint32_t limit() const { return is_on_trial() ? trial_ : limit_; }
  /// Number of requests that the endpoint handles at once at its usual speed;
  /// 0 if unlimited. Less than the limit while the endpoint is slower.
  std::uint32_t capacity() const;
  /// Recent time per unit of work in proportion to the usual one.
  double slowness() const;

 private:
  /// Requests that started and ended while the endpoint was full.
  struct measurement {
    std::optional<instant> since;
    std::uint32_t samples = 0;
    double self_ns = 0;
    double usual_ns = 0;

    /// Work per time, in requests of the usual speed, with `limit` in use.
    double Rate(std::uint32_t limit) const;
  };
  /// A trial is compared with measurements before and after it, since a slow
  /// period may begin or end in the middle.
  enum class phase : std::uint8_t { kBefore, kTrial, kAfter };

  /// Returns what a request of the class usually takes, in nanoseconds.
  double UsualTime(const class_name& request_class,
                   std::uint32_t in_use,
                   double self_ns);
  void Measure(instant now,
               std::uint32_t in_use_now,
               double self_ns,
               double usual_ns);
  /// Ends a measurement that has enough samples.
  void Conclude(instant now);
  /// Chooses the limit to try; 0 if none is better by what is known.
  std::uint32_t NextTrial() const;
  /// Ends the trial, after a measurement of `rate` at the earlier limit.
  void Decide(instant now, double rate);
  bool is_on_trial() const { return phase_ == phase::kTrial; }

  struct class_baseline {
    std::uint32_t samples = 0;
    double self_ns = 0;
  };

  std::uint32_t max_limit_ = 0;
  std::uint32_t limit_ = 0;
  phase phase_ = phase::kBefore;
  std::uint32_t trial_ = 0;
  double rate_before_ = 0;
  double rate_on_trial_ = 0;
  std::uint32_t vain_trials_ = 0;
  instant no_trial_until_{};
  measurement measured_;
  /// Recent means.
  double recent_self_ns_ = 0;
  double recent_usual_ns_ = 0;
  std::unordered_map<class_name, class_baseline> baselines_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_CAPACITY_ESTIMATOR_H_
