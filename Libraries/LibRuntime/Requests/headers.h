#ifndef LIBRUNTIME_REQUESTS_HEADERS_H_
#define LIBRUNTIME_REQUESTS_HEADERS_H_

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/answer_metadata.h"
#include "LibDecision/attempt_report.h"
#include "LibDecision/endpoint_signals.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/outcome.h"
#include "LibDecision/request_metadata.h"
#include "LibRuntime/Connections/http_types.h"

namespace auburnfold {

namespace leaf = boost::leaf;

/// Why a request is rejected before the reducer sees it.
struct request_error {
  error_kind kind;
  std::string_view reason;
};

/// The metadata of a forwarded request, the node that forwarded it, and the
/// incarnation of this node that it is meant for.
struct forwarded_metadata {
  request_metadata metadata;
  node_id from;
  incarnation expected_run;
  /// Unset if the forwarding node does not number its attempts.
  std::optional<attempt_key> attempt;
};

/// Reads the headers of a caller's request. Fails with `request_error`.
leaf::result<request_metadata> ReadCallerHeaders(const http::fields& headers);

/// Reads the headers of a request that another node forwarded. Fails with
/// `request_error`.
leaf::result<forwarded_metadata> ReadForwardedHeaders(
    const http::fields& headers);

/// Removes hop-by-hop headers, which concern only one connection, and every
/// `Auburnfold-` header.
void StripHeaders(http::fields& headers);

/// Adds the headers of a request that is forwarded to another node.
void WriteForwardedHeaders(http::fields& headers,
                           const request_metadata& metadata,
                           const attempt_key& attempt,
                           incarnation expected_run);

/// Adds the headers of a request that is sent to an endpoint.
void WriteEndpointHeaders(http::fields& headers,
                          const request_metadata& metadata,
                          duration time_left,
                          const std::string& parent);

/// Adds the metadata that a node sends to the forwarding node with each
/// answer.
void WriteAnswerMetadata(http::fields& headers,
                         const answer_metadata& metadata);

/// Reads the outcome from a peer's response. `error` is set unless the peer
/// marked the answer as complete.
outcome ReadPeerOutcome(const http_response& response);

/// Reads what an endpoint's response says about the endpoint in the headers
/// `rate_limit_name` and `leaving_name`.
endpoint_signals ReadEndpointSignals(const http::fields& headers,
                                     std::string_view rate_limit_name,
                                     std::string_view leaving_name);

/// Whether an endpoint refused the request without executing any of it.
bool IsEndpointRefusal(const http_response& response);

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_HEADERS_H_
