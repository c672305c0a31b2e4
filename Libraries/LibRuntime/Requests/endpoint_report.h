#ifndef LIBRUNTIME_REQUESTS_ENDPOINT_REPORT_H_
#define LIBRUNTIME_REQUESTS_ENDPOINT_REPORT_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string_view>

#include "LibDecision/event.h"
#include "LibRuntime/Requests/headers.h"

namespace auburnfold {

/// The content of an endpoint's `PUT /auburnfold/v1/endpoint`.
struct endpoint_report {
  std::uint16_t port = 0;
  endpoint_reported content;
};

/// Parses a report's JSON. Fails with `request_error`.
leaf::result<endpoint_report> ParseEndpointReport(std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_ENDPOINT_REPORT_H_
