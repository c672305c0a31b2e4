#ifndef LIBRUNTIME_TCP_TIMEOUTS_H_
#define LIBRUNTIME_TCP_TIMEOUTS_H_

#include "LibRuntime/http_types.h"

namespace auburnfold {

/// Has the operating system abort a connection whose peer acknowledges neither
/// data nor, on an idle connection, keepalive probes for about a second.
void SetTcpTimeouts(tcp::socket& socket);

}  // namespace auburnfold

#endif  // LIBRUNTIME_TCP_TIMEOUTS_H_
