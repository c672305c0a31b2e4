#ifndef LIBRUNTIME_REQUESTS_OWN_DIALECT_H_
#define LIBRUNTIME_REQUESTS_OWN_DIALECT_H_

#include <optional>
#include <string_view>

#include "LibRuntime/Requests/wire_dialect.h"

namespace auburnfold {

/// The HTTP interface that docs/headers.md describes: callers name service and
/// class in headers, and endpoints send the parent token of their work with
/// each child call.
class own_dialect {
 public:
  leaf::result<caller_request> ReadCallerRequest(
      const http_request& request) const;
  void AddOriginHeaders(http::fields&) const {}
  std::string IdentityOf(const http_request& request,
                         const request_metadata& metadata) const;
  void AddEndpointHeaders(http::fields& headers,
                          const endpoint_request& forwarded) const;
  std::string_view echoed_header() const { return {}; }
  bool allows_close_delimited_responses() const { return false; }
  outcome ReadEndpointOutcome(const http_response& response) const;
  void MarkComplete(http_response& response, const request_id& request) const;
  http_response MakeError(const caller_error& error) const;
  bool IsReport(const http_request& request) const;
  leaf::result<endpoint_report> ReadReport(const http_request& request) const;
  /// Endpoints of this dialect are not probed; they report their state
  /// themselves.
  std::optional<endpoint_reported> ReadEndpointState(
      const http_response&) const {
    return std::nullopt;
  }
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_OWN_DIALECT_H_
