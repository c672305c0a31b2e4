#include "LibDecision/Routes/route_table.h"

#include <algorithm>
#include <utility>

namespace auburnfold {

namespace {

// Host names are compared without regard to case, and without the port.
std::string NormalizeHost(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](char character) {
    const bool is_upper = character >= 'A' && character <= 'Z';
    return is_upper ? static_cast<char>(character - 'A' + 'a') : character;
  });
  return key;
}

}  // namespace

bool route_table::Apply(instant now, const route_config& config) {
  if (version_ && config.version <= *version_) {
    return false;
  }
  version_ = config.version;
  applied_at_ = now;
  has_downloads_ =
      std::any_of(config.routes.begin(), config.routes.end(),
                  [](const route& entry) { return entry.is_download; });
  hosts_.clear();
  services_.clear();
  for (const service_config& entry : config.services) {
    services_[entry.name] = entry.health_path;
  }
  for (const route& entry : config.routes) {
    std::vector<std::int64_t> current_weights(entry.services.size(), 0);
    hosts_[NormalizeHost(entry.host)].push_back(
        {entry, std::move(current_weights)});
    for (const weighted_service& weighted : entry.services) {
      services_.try_emplace(weighted.service);
    }
  }
  for (auto& [host, routes] : hosts_) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const host_route& left, const host_route& right) {
                       return left.definition.prefix.size() >
                              right.definition.prefix.size();
                     });
  }
  return true;
}

const route* route_table::Match(std::string_view host,
                                std::string_view path) const {
  const auto found = hosts_.find(NormalizeHost(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  const std::string_view without_query = path.substr(0, path.find('?'));
  for (const host_route& entry : found->second) {
    if (without_query.starts_with(entry.definition.prefix)) {
      return &entry.definition;
    }
  }
  return nullptr;
}

// Smooth weighted round robin: each round adds every service's weight to its
// current weight, chooses the highest and subtracts the total from it. Unlike
// random choice, this keeps the proportions over a few requests too.
const service_name& route_table::NextService(const route& matched) {
  if (matched.services.size() == 1) {
    return matched.services.front().service;
  }
  std::vector<host_route>& routes = hosts_.at(NormalizeHost(matched.host));
  const auto found = std::find_if(
      routes.begin(), routes.end(),
      [&](const host_route& entry) { return &entry.definition == &matched; });
  std::int64_t total_weight = 0;
  std::size_t next = 0;
  for (std::size_t i = 0; i < matched.services.size(); ++i) {
    const auto weight = static_cast<std::int64_t>(matched.services[i].weight);
    found->current_weights[i] += weight;
    total_weight += weight;
    if (found->current_weights[i] > found->current_weights[next]) {
      next = i;
    }
  }
  found->current_weights[next] -= total_weight;
  return matched.services[next].service;
}

std::string route_table::HealthPathOf(const service_name& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? std::string() : found->second;
}

}  // namespace auburnfold
