#ifndef LIBRUNTIME_CONNECTIONS_HTTP_RESPONSES_H_
#define LIBRUNTIME_CONNECTIONS_HTTP_RESPONSES_H_

#include <string>
#include <string_view>

#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"
#include "LibDecision/instant.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

/// Builds the response for one of the defined errors. A `retry_after` of zero
/// means that the caller should not retry. An empty `reason` stands for the
/// error's name.
http_response MakeErrorResponse(error_kind kind,
                                execution_state execution,
                                duration retry_after,
                                const request_id& root,
                                std::string_view reason);

/// Marks `response` as a complete answer to the request `root`, which was
/// executed.
void MarkComplete(http_response& response, const request_id& root);

/// Builds a response with a short body, as the node's own interfaces send it.
http_response MakeTextResponse(http::status status,
                               std::string_view content_type,
                               std::string body);

/// Sets the body length, or removes the body if responses to `method` or with
/// this status have none.
void FinishResponse(http_response& response, http::verb method);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONNECTIONS_HTTP_RESPONSES_H_
