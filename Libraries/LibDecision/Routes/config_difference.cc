#include "LibDecision/Routes/config_difference.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace auburnfold {

namespace {

/// The fields of an entry as text, in the order of their names.
using entry_fields = std::map<std::string, std::string>;
/// The entries of a configuration by type and name.
using config_entries = std::map<std::string, entry_fields>;

std::string ToText(duration value) {
  return std::to_string(
             std::chrono::duration_cast<std::chrono::milliseconds>(value)
                 .count()) +
         " ms";
}

// Without trailing zeros, as an operator would write it.
std::string ToText(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.ends_with('.')) {
    text.pop_back();
  }
  return text;
}

std::string ToText(bool value) {
  return value ? "yes" : "no";
}

entry_fields FieldsOf(const route& entry) {
  std::string services;
  for (const weighted_service& part : entry.services) {
    services += (services.empty() ? "" : ", ") + part.service.value() + ' ' +
                std::to_string(part.weight);
  }
  return {{"host", entry.host},
          {"prefix", entry.prefix},
          {"services", services},
          {"idempotent", ToText(entry.is_idempotent)},
          {"download", ToText(entry.is_download)},
          {"anonymous", ToText(entry.is_anonymous)},
          {"max_attempts", std::to_string(entry.max_attempts)},
          {"timeout", ToText(entry.timeout)},
          {"objective", ToText(entry.objective)},
          {"priority", std::to_string(entry.priority)}};
}

entry_fields FieldsOf(const service_config& entry) {
  return {{"health_path", entry.health_path}};
}

entry_fields FieldsOf(const tenant_config& entry) {
  return {{"priority",
           entry.priority ? std::to_string(*entry.priority) : "of the route"},
          {"rate", entry.quota.is_limited() ? ToText(entry.quota.rate.value())
                                            : "unlimited"},
          {"burst", ToText(entry.quota.burst)}};
}

entry_fields FieldsOf(const caller_limits& limits) {
  return {{"header_bytes", std::to_string(limits.header_bytes)},
          {"body_bytes", std::to_string(limits.body_bytes)},
          {"header_timeout", ToText(limits.header_timeout)},
          {"idle_timeout", ToText(limits.idle_timeout)}};
}

config_entries EntriesOf(const route_config& config) {
  config_entries entries;
  for (const route& entry : config.routes) {
    entries["route " + entry.name.value()] = FieldsOf(entry);
  }
  for (const service_config& entry : config.services) {
    entries["service " + entry.name.value()] = FieldsOf(entry);
  }
  for (const tenant_config& entry : config.tenants) {
    entries["tenant " + entry.name.value()] = FieldsOf(entry);
  }
  entries["limits"] = FieldsOf(config.limits);
  return entries;
}

std::size_t CountMissing(const std::vector<api_key>& keys,
                         const std::vector<api_key>& among) {
  const std::set<api_key> present(among.begin(), among.end());
  return static_cast<std::size_t>(std::count_if(
      keys.begin(), keys.end(),
      [&present](const api_key& key) { return !present.contains(key); }));
}

void CompareKeys(const route_config& before,
                 const route_config& after,
                 std::vector<config_difference>& differences) {
  for (const tenant_config& tenant : after.tenants) {
    const auto former =
        std::find_if(before.tenants.begin(), before.tenants.end(),
                     [&tenant](const tenant_config& other) {
                       return other.name == tenant.name;
                     });
    if (former == before.tenants.end()) {
      continue;
    }
    const std::size_t removed = CountMissing(former->keys, tenant.keys);
    const std::size_t added = CountMissing(tenant.keys, former->keys);
    if (removed + added > 0) {
      differences.push_back({"tenant " + tenant.name.value(), "keys",
                             std::to_string(removed) + " removed",
                             std::to_string(added) + " added"});
    }
  }
}

}  // namespace

std::vector<config_difference> CompareConfigs(const route_config& before,
                                              const route_config& after) {
  std::vector<config_difference> differences;
  const config_entries old_entries = EntriesOf(before);
  const config_entries new_entries = EntriesOf(after);
  for (const auto& [name, fields] : old_entries) {
    if (!new_entries.contains(name)) {
      differences.push_back({name, "", "present", ""});
    }
  }
  for (const auto& [name, fields] : new_entries) {
    const auto former = old_entries.find(name);
    if (former == old_entries.end()) {
      differences.push_back({name, "", "", "present"});
      continue;
    }
    for (const auto& [field, value] : fields) {
      const std::string& old_value = former->second.at(field);
      if (old_value != value) {
        differences.push_back({name, field, old_value, value});
      }
    }
  }
  CompareKeys(before, after, differences);
  return differences;
}

}  // namespace auburnfold
