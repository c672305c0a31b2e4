#ifndef LIBRUNTIME_OBSERVABILITY_JSON_LAYOUT_H_
#define LIBRUNTIME_OBSERVABILITY_JSON_LAYOUT_H_

#include <log4cplus/layout.h>

namespace auburnfold {

/// Formats each log event as one line with a JSON object that has the time,
/// level and logger. The fields of a message that is a JSON object are added to
/// it; any other message becomes the field `message`.
class json_layout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_OBSERVABILITY_JSON_LAYOUT_H_
