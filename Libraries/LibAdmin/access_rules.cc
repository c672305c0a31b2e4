#include "LibAdmin/access_rules.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstddef>

namespace auburnfold {

namespace {

namespace json = boost::json;

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::size_t kMinTokenLength = 16;

bool IsEqualInConstantTime(std::string_view left, std::string_view right) {
  unsigned difference = left.size() == right.size() ? 0 : 1;
  for (std::size_t i = 0; i < left.size(); ++i) {
    const char other = i < right.size() ? right[i] : '\0';
    difference |= static_cast<unsigned char>(left[i] ^ other);
  }
  return difference == 0;
}

std::string StringOrEmpty(const json::object& object, std::string_view name) {
  const json::value* value = object.if_contains(name);
  return value != nullptr && value->is_string()
             ? json::value_to<std::string>(*value)
             : std::string();
}

std::string ParseTeam(const json::value& value, admin_team& team) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return "teams: must be a list of objects";
  }
  team.name = StringOrEmpty(*object, "name");
  team.token = StringOrEmpty(*object, "token");
  if (team.name.empty()) {
    return "teams.name: must be a non-empty string";
  }
  if (team.token.size() < kMinTokenLength) {
    return "teams.token: must have at least 16 characters";
  }
  if (const json::value* services = object->if_contains("services")) {
    if (!services->is_array()) {
      return "teams.services: must be a list";
    }
    for (const json::value& each : services->get_array()) {
      if (!each.is_string()) {
        return "teams.services: must be a list of strings";
      }
      team.services.push_back(json::value_to<std::string>(each));
    }
  }
  const json::value* drain = object->if_contains("drain");
  team.may_drain = drain != nullptr && drain->is_bool() && drain->get_bool();
  return {};
}

}  // namespace

bool admin_team::may_edit(std::string_view service) const {
  return std::any_of(services.begin(), services.end(),
                     [service](const std::string& each) {
                       return each == "*" || each == service;
                     });
}

std::optional<access_rules> access_rules::Parse(std::string_view text,
                                                std::string& error_text) {
  json::error_code error;
  const json::value settings = json::parse(text, error);
  if (error || !settings.is_object()) {
    error_text = "must be an object";
    return std::nullopt;
  }
  access_rules rules;
  const json::value* teams = settings.get_object().if_contains("teams");
  if (teams == nullptr) {
    return rules;
  }
  if (!teams->is_array()) {
    error_text = "teams: must be a list";
    return std::nullopt;
  }
  for (const json::value& each : teams->get_array()) {
    admin_team team;
    error_text = ParseTeam(each, team);
    if (!error_text.empty()) {
      return std::nullopt;
    }
    rules.teams_.push_back(std::move(team));
  }
  return rules;
}

const admin_team* access_rules::Authenticate(
    std::string_view authorization) const {
  if (!authorization.starts_with(kBearerPrefix)) {
    return nullptr;
  }
  const std::string_view token = authorization.substr(kBearerPrefix.size());
  const admin_team* found = nullptr;
  for (const admin_team& team : teams_) {
    if (IsEqualInConstantTime(team.token, token)) {
      found = &team;
    }
  }
  return found;
}

}  // namespace auburnfold
