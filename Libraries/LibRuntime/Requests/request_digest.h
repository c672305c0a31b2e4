#ifndef LIBRUNTIME_REQUESTS_REQUEST_DIGEST_H_
#define LIBRUNTIME_REQUESTS_REQUEST_DIGEST_H_

#include <string_view>

#include "LibDecision/ids.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// The digest of method, target, body and `identity`, which names where the
/// request goes and who sends it. Never 0.
request_digest DigestOf(const http_request& request, std::string_view identity);

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_REQUEST_DIGEST_H_
