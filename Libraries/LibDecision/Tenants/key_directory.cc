#include "LibDecision/Tenants/key_directory.h"

#include <utility>

namespace auburnfold {

// With a key that several tenants hold, none of them can be told from the
// others, so that one could use up what belongs to another.
void key_directory::Replace(const std::vector<tenant_config>& tenants) {
  holders_.clear();
  holders_by_key_.clear();
  holders_.reserve(tenants.size());
  for (const tenant_config& tenant : tenants) {
    const std::size_t index = holders_.size();
    holders_.push_back({tenant.name, tenant.priority});
    for (const api_key& key : tenant.keys) {
      const auto [found, is_new] = holders_by_key_.try_emplace(key, index);
      std::optional<std::size_t>& holder = found->second;
      if (!is_new && holder && holders_[*holder].name != tenant.name) {
        holder.reset();
      }
    }
  }
}

const key_holder* key_directory::Find(const api_key& key) const {
  const auto found = holders_by_key_.find(key);
  const bool is_unique = found != holders_by_key_.end() && found->second;
  return is_unique ? &holders_[*found->second] : nullptr;
}

}  // namespace auburnfold
