#ifndef LIBDECISION_ENDPOINT_NOTICE_H_
#define LIBDECISION_ENDPOINT_NOTICE_H_

#include <optional>

#include "LibDecision/ids.h"

namespace auburnfold {

/// What an endpoint's answers said about it, as nodes tell each other: its node
/// with each answer, and a sender with each request, in case the endpoint's
/// node has restarted and no longer knows.
struct endpoint_notice {
  endpoint_name endpoint;
  incarnation run;
  std::optional<request_rate> rate_limit;
  /// It takes no new requests, whatever it reports.
  bool is_leaving = false;

  friend bool operator==(const endpoint_notice&,
                         const endpoint_notice&) = default;
};

}  // namespace auburnfold

#endif  // LIBDECISION_ENDPOINT_NOTICE_H_
