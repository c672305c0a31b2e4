#ifndef LIBRUNTIME_ANSWERS_H_
#define LIBRUNTIME_ANSWERS_H_

#include <string>
#include <string_view>

#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

/// An answer for an error of the closed list. `retry_after` of zero means
/// that the request should not come back.
http_response MakeErrorAnswer(error_kind kind,
                              execution_state execution,
                              duration retry_after,
                              const request_id& root,
                              std::string_view reason);

/// Marks `response` as the whole answer to the request `root`.
void MarkWhole(http_response& response, const request_id& root);

/// A short answer of a node's own interfaces.
http_response MakeTextAnswer(http::status status,
                             std::string_view content_type,
                             std::string body);

/// Sets the length of the body, unless the answer to `method` has none.
void FinishAnswer(http_response& response, http::verb method);

}  // namespace auburnfold

#endif  // LIBRUNTIME_ANSWERS_H_
