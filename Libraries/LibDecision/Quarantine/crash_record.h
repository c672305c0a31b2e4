#ifndef LIBDECISION_QUARANTINE_CRASH_RECORD_H_
#define LIBDECISION_QUARANTINE_CRASH_RECORD_H_

#include <vector>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// One crash of an endpoint, as nodes tell each other of it.
struct crash_record {
  crash_id id;
  /// The requests that were at work and may have caused it, in ascending
  /// order.
  std::vector<request_digest> suspects;
  /// How long the record still counts.
  duration time_left{};

  friend bool operator==(const crash_record&, const crash_record&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_QUARANTINE_CRASH_RECORD_H_
