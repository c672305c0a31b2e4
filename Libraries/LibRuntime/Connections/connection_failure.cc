#include "LibRuntime/Connections/connection_failure.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace auburnfold {

void LogConnectionFailure(const std::exception& error) {
  LOG4CPLUS_ERROR(log4cplus::Logger::getInstance("auburnfold.connections"),
                  "a connection is closed: " << error.what());
}

}  // namespace auburnfold
