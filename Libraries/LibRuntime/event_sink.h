#ifndef LIBRUNTIME_EVENT_SINK_H_
#define LIBRUNTIME_EVENT_SINK_H_

#include <functional>

#include "LibDecision/event.h"

namespace auburnfold {

/// Passes an event to the reducer. Events passed while an earlier one is being
/// handled are queued.
using event_sink = std::function<void(event_content)>;

}  // namespace auburnfold

#endif  // LIBRUNTIME_EVENT_SINK_H_
