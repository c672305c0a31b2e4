#include "LibDecision/Routes/config_check.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "LibDecision/Routes/host_name.h"

namespace auburnfold {

namespace {

// Collects the findings about one configuration.
class config_checker {
 public:
  explicit config_checker(const route_config& config) : config_(config) {}

  std::vector<config_finding> Check(const route_config* in_force);

 private:
  void CheckVersion(const route_config& in_force);
  void CheckUnreadParts();
  template <class entry_type>
  void CheckNames(const std::vector<entry_type>& entries);
  void CheckRoute(const route& entry);
  void CheckServices(const route& entry);
  void CheckUnusedServices();
  void CheckKeys();
  void CheckTenant(const tenant_config& tenant);
  void CheckLimits();

  void Add(config_fault fault,
           std::string entry,
           std::string field,
           std::string reason) {
    findings_.push_back(
        {fault, std::move(entry), std::move(field), std::move(reason)});
  }

  const route_config& config_;
  std::vector<config_finding> findings_;
  /// The first route of each host and prefix.
  std::map<std::pair<std::string, std::string>, std::string> matched_;
};

std::vector<config_finding> config_checker::Check(
    const route_config* in_force) {
  if (in_force != nullptr) {
    CheckVersion(*in_force);
  }
  CheckUnreadParts();
  CheckNames(config_.routes);
  CheckNames(config_.services);
  CheckNames(config_.tenants);
  for (const route& entry : config_.routes) {
    CheckRoute(entry);
  }
  CheckUnusedServices();
  CheckKeys();
  for (const tenant_config& tenant : config_.tenants) {
    CheckTenant(tenant);
  }
  CheckLimits();
  return std::move(findings_);
}

void config_checker::CheckVersion(const route_config& in_force) {
  if (config_.version <= in_force.version) {
    Add(config_fault::kNotNewer, "", "version",
        std::to_string(config_.version.value()) +
            " is not newer than the version in force, " +
            std::to_string(in_force.version.value()));
  }
}

void config_checker::CheckUnreadParts() {
  for (const unread_field& unread : config_.unread) {
    Add(config_fault::kUnread, unread.entry, std::string(NameOf(unread.field)),
        unread.value.empty() ? "is missing or cannot be read"
                             : "cannot be read: " + unread.value);
  }
}

template <class entry_type>
void config_checker::CheckNames(const std::vector<entry_type>& entries) {
  std::set<std::string> names;
  for (const entry_type& entry : entries) {
    if (!names.insert(entry.name.value()).second) {
      Add(config_fault::kDuplicateName, entry.name.value(), "name",
          "another entry of this type has the same name");
    }
  }
}

// Of two routes with the same host and prefix, the first one is used.
void config_checker::CheckRoute(const route& entry) {
  const std::string& name = entry.name.value();
  const auto [first, is_first] =
      matched_.try_emplace({NormalizeHost(entry.host), entry.prefix}, name);
  if (!is_first) {
    Add(config_fault::kNeverMatches, name, "prefix",
        "route " + first->second + " has the same host and prefix");
  }
  if (entry.timeout <= duration::zero()) {
    Add(config_fault::kContradiction, name, "timeout",
        "every request exceeds a time limit of 0");
  } else if (entry.objective > entry.timeout) {
    Add(config_fault::kNoEffect, name, "objective",
        "the target latency is longer than the time limit");
  }
  if (entry.max_attempts == 0) {
    Add(config_fault::kContradiction, name, "max_attempts",
        "no request may be sent to an endpoint");
  }
  CheckServices(entry);
}

void config_checker::CheckServices(const route& entry) {
  for (const weighted_service& part : entry.services) {
    const bool is_known =
        std::any_of(config_.services.begin(), config_.services.end(),
                    [&part](const service_config& service) {
                      return service.name == part.service;
                    });
    if (!is_known) {
      Add(config_fault::kUnknownService, entry.name.value(), "service",
          "service " + part.service.value() + " is not configured");
    }
    if (part.weight == 0) {
      Add(config_fault::kNeverMatches, entry.name.value(), "weight",
          "service " + part.service.value() + " gets no requests");
    }
  }
}

void config_checker::CheckUnusedServices() {
  for (const service_config& service : config_.services) {
    const bool is_used = std::any_of(
        config_.routes.begin(), config_.routes.end(),
        [&service](const route& entry) {
          return std::any_of(entry.services.begin(), entry.services.end(),
                             [&service](const weighted_service& part) {
                               return part.service == service.name;
                             });
        });
    if (!is_used) {
      Add(config_fault::kUnused, service.name.value(), "service",
          "no route leads to the service");
    }
  }
}

void config_checker::CheckKeys() {
  std::map<api_key, const tenant_config*> holders;
  for (const tenant_config& tenant : config_.tenants) {
    for (const api_key& key : tenant.keys) {
      const auto [holder, is_first] = holders.try_emplace(key, &tenant);
      if (!is_first && holder->second != &tenant) {
        Add(config_fault::kSharedKey, tenant.name.value(), "keys",
            "tenant " + holder->second->name.value() + " has the same key");
      }
    }
  }
}

void config_checker::CheckTenant(const tenant_config& tenant) {
  const std::string& name = tenant.name.value();
  if (tenant.keys.empty()) {
    Add(config_fault::kNeverMatches, name, "keys", "the tenant has no key");
  }
  const bool has_unlimited_burst =
      !tenant.quota.is_limited() && tenant.quota.burst > 0;
  if (has_unlimited_burst) {
    Add(config_fault::kNoEffect, name, "burst", "the tenant has no rate limit");
  }
}

// A caller that uses the whole time for its headers would find its connection
// closed as idle.
void config_checker::CheckLimits() {
  const caller_limits& limits = config_.limits;
  if (limits.header_bytes == 0) {
    Add(config_fault::kContradiction, "", "header_bytes",
        "no request can be sent");
  }
  if (limits.idle_timeout < limits.header_timeout) {
    Add(config_fault::kContradiction, "", "idle_timeout",
        "is shorter than the time limit for headers");
  }
}

}  // namespace

std::string_view NameOf(config_fault fault) {
  switch (fault) {
    case config_fault::kUnread:
      return "unread";
    case config_fault::kNotNewer:
      return "not-newer";
    case config_fault::kDuplicateName:
      return "duplicate-name";
    case config_fault::kUnknownService:
      return "unknown-service";
    case config_fault::kSharedKey:
      return "shared-key";
    case config_fault::kNeverMatches:
      return "never-matches";
    case config_fault::kUnused:
      return "unused";
    case config_fault::kNoEffect:
      return "no-effect";
    case config_fault::kContradiction:
      return "contradiction";
  }
  return "unknown";
}

bool IsError(config_fault fault) {
  return fault != config_fault::kNeverMatches &&
         fault != config_fault::kUnused && fault != config_fault::kNoEffect;
}

std::vector<config_finding> CheckConfig(const route_config& config,
                                        const route_config* in_force) {
  return config_checker(config).Check(in_force);
}

}  // namespace auburnfold
