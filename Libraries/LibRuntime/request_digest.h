#ifndef LIBRUNTIME_REQUEST_DIGEST_H_
#define LIBRUNTIME_REQUEST_DIGEST_H_

#include <string_view>

#include "LibDecision/ids.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

/// The digest of `request` as sent by `caller`. Headers other than `Host` do
/// not count. Never 0.
request_digest DigestOf(const http_request& request, std::string_view caller);

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUEST_DIGEST_H_
