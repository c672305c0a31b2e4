#include "LibDecision/Tenants/caller_authenticator.h"

#include "LibDecision/Tenants/tenant_digest.h"

namespace auburnfold {

// An endpoint has no key of its own: its calls belong to the tenant whose
// request it runs. A call that presents a key comes from a client.
std::optional<error_kind> caller_authenticator::Authenticate(
    event_context& context,
    const call_arrived& arrived,
    const route& matched,
    const request_metadata* parent,
    request_metadata& metadata) {
  if (!keys_.has_tenants()) {
    return std::nullopt;
  }
  if (!arrived.key && parent != nullptr) {
    metadata.tenant = parent->tenant;
    metadata.digest = DigestForTenant(metadata.digest, metadata.tenant);
    return std::nullopt;
  }
  const key_holder* holder = arrived.key ? keys_.Find(*arrived.key) : nullptr;
  const bool needs_valid_key = holder != nullptr || !matched.is_anonymous;
  if (arrived.key && needs_valid_key && !validity_.IsValid(context)) {
    // The newest routes may hold the key even if those in force do not.
    context.Count(counter::kRefusedByKeyValidity);
    return error_kind::kApiKeysOutdated;
  }
  if (holder == nullptr && !matched.is_anonymous) {
    context.Count(counter::kRefusedByApiKey);
    return error_kind::kUnknownApiKey;
  }
  if (holder != nullptr) {
    metadata.tenant = holder->name;
    metadata.digest = DigestForTenant(metadata.digest, metadata.tenant);
    if (holder->priority) {
      metadata.priority = holder->priority;
    }
  }
  return std::nullopt;
}

}  // namespace auburnfold
