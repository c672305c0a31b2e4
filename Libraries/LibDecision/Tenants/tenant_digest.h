#ifndef LIBDECISION_TENANTS_TENANT_DIGEST_H_
#define LIBDECISION_TENANTS_TENANT_DIGEST_H_

#include <algorithm>
#include <cstdint>

#include "LibDecision/hash.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// Tells equal requests of different tenants apart, since an endpoint gets to
/// know the tenant. Requests without a tenant keep their digest.
inline request_digest DigestForTenant(request_digest digest,
                                      const tenant_name& tenant) {
  const bool has_both = digest != request_digest() && tenant != tenant_name();
  return has_both ? request_digest(std::max<std::uint64_t>(
                        StableHash(tenant.value(), MixBits(digest.value())), 1))
                  : digest;
}

}  // namespace auburnfold

#endif  // LIBDECISION_TENANTS_TENANT_DIGEST_H_
