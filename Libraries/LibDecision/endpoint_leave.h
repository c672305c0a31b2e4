#ifndef LIBDECISION_ENDPOINT_LEAVE_H_
#define LIBDECISION_ENDPOINT_LEAVE_H_

#include <cstdint>

#include "LibDecision/ids.h"

namespace auburnfold {

/// One run of an endpoint.
struct endpoint_run {
  endpoint_name name;
  /// 0 until a report has named it.
  incarnation run;

  friend bool operator==(const endpoint_run&, const endpoint_run&) = default;
};

/// The leave that an endpoint has announced, as its node acknowledged it.
struct endpoint_leave {
  endpoint_run endpoint;
  /// Of the report that announced it: earlier reports do not undo the leave. 0
  /// if reports are not numbered.
  std::uint64_t sequence = 0;
  /// No report of this run undoes it.
  bool is_final = false;

  friend bool operator==(const endpoint_leave&,
                         const endpoint_leave&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ENDPOINT_LEAVE_H_
