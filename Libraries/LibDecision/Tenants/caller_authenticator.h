#ifndef LIBDECISION_TENANTS_CALLER_AUTHENTICATOR_H_
#define LIBDECISION_TENANTS_CALLER_AUTHENTICATOR_H_

#include <optional>

#include "LibDecision/Routes/route.h"
#include "LibDecision/Tenants/key_directory.h"
#include "LibDecision/Tenants/key_validity.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/request_metadata.h"

namespace auburnfold {

/// Decides to which tenant a call belongs, and whether it may be made at all.
/// Does so once in a call tree, at the node where the call begins.
class caller_authenticator {
 public:
  caller_authenticator(const key_directory& keys, key_validity& validity)
      : keys_(keys), validity_(validity) {}

  /// Returns why the call is refused; unset if it may go on. In that case, sets
  /// the tenant, its priority and the digest in `metadata`. `parent` is the
  /// work that the call is made for; null if there is none.
  std::optional<error_kind> Authenticate(event_context& context,
                                         const call_arrived& arrived,
                                         const route& matched,
                                         const request_metadata* parent,
                                         request_metadata& metadata);

 private:
  const key_directory& keys_;
  key_validity& validity_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TENANTS_CALLER_AUTHENTICATOR_H_
