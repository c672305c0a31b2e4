#ifndef LIBRUNTIME_CONNECTION_SILENCE_H_
#define LIBRUNTIME_CONNECTION_SILENCE_H_

#include "LibRuntime/http_types.h"

namespace auburnfold {

/// Has the operating system end a connection whose other side confirms nothing
/// for about a second, while bytes wait there or not.
void LimitSilence(tcp::socket& socket);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTION_SILENCE_H_
