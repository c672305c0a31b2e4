#ifndef LIBRUNTIME_HEADERS_H_
#define LIBRUNTIME_HEADERS_H_

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/answer_metadata.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/outcome.h"
#include "LibDecision/request_metadata.h"
#include "LibRuntime/http_types.h"

namespace auburnfold {

namespace leaf = boost::leaf;

/// Why a request cannot be served as it stands.
struct request_error {
  error_kind kind;
  std::string_view reason;
};

/// What a forwarded request says besides its facts.
struct forwarded_metadata {
  request_metadata metadata;
  node_id from;
  incarnation expected_run;
};

/// Reads a caller's headers. Fails with `request_error`.
leaf::result<request_metadata> ReadCallerHeaders(const http::fields& headers);

/// Reads the headers of a request that another node forwarded. Fails with
/// `request_error`.
leaf::result<forwarded_metadata> ReadForwardedHeaders(
    const http::fields& headers);

/// Removes all that concerns only one connection, and every `Auburnfold-`
/// header.
void StripHeaders(http::fields& headers);

/// Adds the headers of a forwarded request.
void WriteForwardedHeaders(http::fields& headers,
                           const request_metadata& metadata,
                           node_id from,
                           incarnation expected_run);

/// Adds the headers that an endpoint sees.
void WriteEndpointHeaders(http::fields& headers,
                          const request_metadata& metadata,
                          duration time_left,
                          const std::string& parent);

/// Adds what a node tells the forwarding node with each answer.
void WriteAnswerMetadata(http::fields& headers,
                         const answer_metadata& metadata);

/// Reads how a peer's answer ended. `error` is set unless the peer says that
/// the answer is whole.
outcome ReadPeerOutcome(const http_response& response);

/// An endpoint's refusal before any work.
bool IsEndpointRefusal(const http_response& response);

}  // namespace auburnfold

#endif  // LIBRUNTIME_HEADERS_H_
