#include "LibRuntime/Observability/json_layout.h"

#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <string>
#include <string_view>

namespace auburnfold {

void json_layout::formatAndAppend(
    log4cplus::tostream& output,
    const log4cplus::spi::InternalLoggingEvent& event) {
  output << R"({"time":")"
         << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                 event.getTimestamp(), true)
         << R"(","level":")"
         << log4cplus::getLogLevelManager().toString(event.getLogLevel())
         << R"(","log":")" << event.getLoggerName() << R"(",)";
  const std::string& message = event.getMessage();
  if (message.starts_with('{')) {
    output << std::string_view(message).substr(1);
  } else {
    output << R"("message":)" << boost::json::serialize(message) << '}';
  }
  output << '\n';
}

}  // namespace auburnfold
