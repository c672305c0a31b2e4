#ifndef LIBPLATFORM_STORE_PROTOCOL_H_
#define LIBPLATFORM_STORE_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "LibDecision/store_call.h"

namespace auburnfold {

/// A request to the key-value service as it goes over HTTP.
struct store_http_request {
  bool is_put = false;
  std::string target;
  std::string body;
};

/// Writes `request` as `docs/headers.md` describes it.
store_http_request ToHttp(const store_request& request);

/// Whether `request` can change what the service holds.
bool IsWrite(const store_request& request);

/// The result of a call whose answer never came. A read had no effect; a
/// write that left this process may have had one.
store_result LostAnswerTo(const store_request& request);

/// Reads the service's whole answer to `request`. An answer that makes no
/// sense counts as lost.
store_result FromHttp(const store_request& request,
                      std::uint16_t http_status,
                      std::string_view body);

}  // namespace auburnfold

#endif  // LIBPLATFORM_STORE_PROTOCOL_H_
