#ifndef LIBDECISION_ENDED_CHILD_H_
#define LIBDECISION_ENDED_CHILD_H_

#include "LibDecision/ids.h"

namespace auburnfold {

/// An ended call that the local endpoint made on behalf of `parent`.
struct ended_child {
  work_id parent;
  /// The call yielded no useful answer.
  bool is_failed = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ENDED_CHILD_H_
