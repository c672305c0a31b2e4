#ifndef LIBRUNTIME_CONNECTIONS_TCP_TIMEOUTS_H_
#define LIBRUNTIME_CONNECTIONS_TCP_TIMEOUTS_H_

#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// Has the operating system abort a connection whose peer acknowledges neither
/// data nor, on an idle connection, keepalive probes for about a second.
void SetTcpTimeouts(tcp::socket& socket);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_TCP_TIMEOUTS_H_
