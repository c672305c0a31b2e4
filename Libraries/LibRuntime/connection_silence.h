#ifndef LIBRUNTIME_CONNECTION_SILENCE_H_
#define LIBRUNTIME_CONNECTION_SILENCE_H_

#include "LibRuntime/http_types.h"

namespace auburnfold {

/// Has the operating system abort a connection whose peer acknowledges neither
/// data nor, on an idle connection, keepalive probes for about a second.
void LimitSilence(tcp::socket& socket);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTION_SILENCE_H_
