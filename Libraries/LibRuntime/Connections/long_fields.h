#ifndef LIBRUNTIME_CONNECTIONS_LONG_FIELDS_H_
#define LIBRUNTIME_CONNECTIONS_LONG_FIELDS_H_

#include <string>
#include <string_view>

#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// Adds a field of a message that was received, of any length. Beast's fields
/// hold less than 64 KiB: what is longer is kept in several of them, of which a
/// lookup by name sees the first. Returns false if it cannot be kept.
bool InsertField(http::fields& fields,
                 http::field field,
                 std::string_view name,
                 std::string_view value);

/// The start line and header of `request` as they are sent, each field whole.
std::string FormatHeader(const http_request_view& request);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_LONG_FIELDS_H_
