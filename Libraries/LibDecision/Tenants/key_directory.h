#ifndef LIBDECISION_TENANTS_KEY_DIRECTORY_H_
#define LIBDECISION_TENANTS_KEY_DIRECTORY_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "LibDecision/Routes/route.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// The tenant that an API key belongs to.
struct key_holder {
  tenant_name name;
  /// 0 (refused first) to 7 (refused last); unset if the priority of the route
  /// applies.
  std::optional<std::uint8_t> priority;
};

/// Finds the tenant of an API key in the routes in force.
class key_directory {
 public:
  /// Replaces all tenants and keys.
  void Replace(const std::vector<tenant_config>& tenants);

  /// Whether requests need an API key unless their route says otherwise.
  bool has_tenants() const { return !holders_.empty(); }
  /// Null if `key` belongs to no tenant, or to several. Valid until the next
  /// `Replace`.
  const key_holder* Find(const api_key& key) const;

 private:
  std::vector<key_holder> holders_;
  /// Index into `holders_`; unset if several tenants hold the key.
  std::unordered_map<api_key, std::optional<std::size_t>> holders_by_key_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_TENANTS_KEY_DIRECTORY_H_
