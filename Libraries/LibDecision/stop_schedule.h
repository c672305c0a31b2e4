#ifndef LIBDECISION_STOP_SCHEDULE_H_
#define LIBDECISION_STOP_SCHEDULE_H_

#include <optional>

#include "LibDecision/instant.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// The course of a stop. New requests are accepted for a grace period, in which
/// others learn of the stop; what still runs at the limit is aborted.
class stop_schedule {
 public:
  explicit stop_schedule(const node_options& options)
      : grace_(options.stop_grace), limit_(options.stop_limit) {}

  void Begin(instant now) { began_at_ = now; }
  bool has_begun() const { return began_at_.has_value(); }

  bool IsGraceOver(instant now) const {
    return began_at_ && now - *began_at_ >= grace_;
  }
  /// Whether a request that is sent now and takes `expected` ends before it
  /// would be aborted.
  bool HasTimeFor(instant now, duration expected) const {
    return !began_at_ || now + expected <= *began_at_ + limit_;
  }

 private:
  duration grace_;
  duration limit_;
  std::optional<instant> began_at_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_STOP_SCHEDULE_H_
