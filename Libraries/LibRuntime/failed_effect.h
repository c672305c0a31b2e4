#ifndef LIBRUNTIME_FAILED_EFFECT_H_
#define LIBRUNTIME_FAILED_EFFECT_H_

#include <optional>

#include "LibDecision/effect.h"
#include "LibDecision/event.h"

namespace auburnfold {

/// The event that ends what `failed` began, if the reducer waits for one. It
/// may be reported although the effect was carried out in part: whether a
/// request was sent is known to the reducer from `attempt_sent` and
/// `work_sent`.
std::optional<event_content> EventInPlaceOf(const effect& failed);

}  // namespace auburnfold

#endif  // LIBRUNTIME_FAILED_EFFECT_H_
