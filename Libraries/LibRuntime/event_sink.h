#ifndef LIBRUNTIME_EVENT_SINK_H_
#define LIBRUNTIME_EVENT_SINK_H_

#include <functional>

#include "LibDecision/event.h"

namespace auburnfold {

/// Takes what happened to the reducer. Events that are given while an earlier
/// one is still worked on wait for their turn.
using event_sink = std::function<void(event_content)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_EVENT_SINK_H_
