#ifndef LIBDECISION_WORK_ENDPOINT_CRASH_DETECTOR_H_
#define LIBDECISION_WORK_ENDPOINT_CRASH_DETECTOR_H_

#include <optional>
#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// Tells crashes of the local endpoint from lost answers.
///
/// An endpoint that closes its connections before it stops listening looks as
/// if it had lost answers. Its next report then names another run, so the
/// requests whose answers were lost shortly before were at work in a crash.
class endpoint_crash_detector {
 public:
  /// Work that began at `started` ended since the endpoint accepts no
  /// connections any more. Returns whether this is a crash that is not known
  /// yet.
  bool OnCrashed(instant now, instant started);
  /// The endpoint closed the connection on which the answer was due.
  void OnAnswerLost(instant now, request_digest digest);
  /// The endpoint reports another run. Returns the requests whose answers were
  /// lost in the run before, unless its crash is known.
  std::vector<request_digest> OnReplaced(instant now);

 private:
  struct lost_answer {
    instant at;
    request_digest digest;
  };

  /// When the endpoint last ended without notice.
  std::optional<instant> crashed_at_;
  std::vector<lost_answer> lost_answers_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORK_ENDPOINT_CRASH_DETECTOR_H_
