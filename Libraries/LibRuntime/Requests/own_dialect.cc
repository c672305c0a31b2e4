#include "LibRuntime/Requests/own_dialect.h"

#include <boost/leaf/result.hpp>
#include <string>
#include <utility>

#include "LibRuntime/Connections/http_responses.h"
#include "LibRuntime/Requests/headers.h"
#include "LibWire/header_names.h"

namespace auburnfold {

namespace {

constexpr std::string_view kEndpointTarget = "/auburnfold/v1/endpoint";

}  // namespace

static_assert(wire_dialect<own_dialect>);

leaf::result<caller_request> own_dialect::ReadCallerRequest(
    const http_request& request) const {
  BOOST_LEAF_AUTO(metadata, ReadCallerHeaders(request));
  caller_request read;
  read.metadata = std::move(metadata);
  read.parent = request[kParentHeader];
  return read;
}

// The host is the address of a node, any of which takes the request.
std::string own_dialect::IdentityOf(const http_request&,
                                    const request_metadata& metadata) const {
  return metadata.service.value() + '\n' + metadata.request_class.value() +
         '\n' + metadata.tenant.value();
}

void own_dialect::AddEndpointHeaders(http::fields& headers,
                                     const endpoint_request& forwarded) const {
  WriteEndpointHeaders(headers, forwarded.metadata, forwarded.time_left,
                       forwarded.parent);
}

outcome own_dialect::ReadEndpointOutcome(const http_response& response) const {
  outcome result{.body_size = response.body().size()};
  result.signals =
      ReadEndpointSignals(response, kRateLimitHeader, kLeavingHeader);
  if (IsEndpointRefusal(response)) {
    result.error = error_kind::kOverloaded;
    result.execution = execution_state::kNotExecuted;
  }
  return result;
}

void own_dialect::MarkComplete(http_response& response,
                               const request_id& request) const {
  auburnfold::MarkComplete(response, request);
}

http_response own_dialect::MakeError(const caller_error& error) const {
  return MakeErrorResponse(error.kind, error.execution, error.retry_after,
                           error.request, error.reason);
}

bool own_dialect::IsReport(const http_request& request) const {
  return request.target() == kEndpointTarget;
}

leaf::result<endpoint_report> own_dialect::ReadReport(
    const http_request& request) const {
  return ParseEndpointReport(request.body());
}

}  // namespace auburnfold
