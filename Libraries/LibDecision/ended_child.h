#ifndef LIBDECISION_ENDED_CHILD_H_
#define LIBDECISION_ENDED_CHILD_H_

#include "LibDecision/ids.h"

namespace auburnfold {

/// A call that the own endpoint made for a work, and that has ended.
struct ended_child {
  work_id parent;
  /// It brought no useful answer.
  bool is_failed = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ENDED_CHILD_H_
