#ifndef LIBRUNTIME_JSON_LAYOUT_H_
#define LIBRUNTIME_JSON_LAYOUT_H_

#include <log4cplus/layout.h>

namespace auburnfold {

/// One JSON object a line, with time, level and logger. A message that is a
/// JSON object itself adds its fields; any other is the field `message`.
class json_layout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_JSON_LAYOUT_H_
