#include "scenario.h"

#include <algorithm>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <stdexcept>

namespace auburnfold::scenarios {

namespace {

namespace json = boost::json;

json::object ReadObject(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw std::runtime_error(path + ": cannot be read");
  }
  std::ostringstream text;
  text << file.rdbuf();
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  json::error_code error;
  const json::value parsed = json::parse(text.str(), error, {}, options);
  if (error) {
    throw std::runtime_error(path + ": " + error.message());
  }
  return parsed.as_object();
}

duration Milliseconds(const json::value& value) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double, std::milli>(value.to_number<double>()));
}

duration Seconds(const std::string& text) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(std::stod(text)));
}

// The keys of the scenario replace those of its deployment.
json::object ReadMerged(const std::string& path) {
  json::object own = ReadObject(path);
  const std::string deployment(own.at("deployment").as_string());
  const auto folder =
      std::filesystem::path(path).parent_path().parent_path() / "deployments";
  json::object merged = ReadObject((folder / (deployment + ".json")).string());
  for (const auto& each : own) {
    merged[each.key()] = each.value();
  }
  return merged;
}

std::vector<std::string> ReadNames(const json::value& value) {
  std::vector<std::string> names;
  for (const json::value& each : value.as_array()) {
    names.emplace_back(each.as_string());
  }
  return names;
}

traffic_class ReadClass(const std::string& name,
                        const json::object& from,
                        const scenario& whole) {
  traffic_class made;
  made.name = name;
  made.share = from.at("share").to_number<double>();
  made.row.priority = from.at("priority").to_number<std::uint8_t>();
  made.row.is_idempotent = from.at("idempotent").as_bool();
  made.row.longest_deadline = whole.deadline;
  if (const auto* allowance = from.if_contains("retry_allowance")) {
    made.row.retry_allowance = allowance->to_number<std::uint16_t>();
  }
  if (const auto* uses_key = from.if_contains("uses_key")) {
    made.uses_key = uses_key->as_bool();
  }
  const auto* path = from.if_contains("path");
  made.path = path != nullptr ? ReadNames(*path) : whole.services;
  return made;
}

fault_line ReadFault(const std::string& text) {
  std::istringstream words(text);
  std::string at;
  fault_line made;
  words >> at >> made.verb >> made.target;
  if (words.fail()) {
    throw std::runtime_error("faults: \"" + text +
                             "\" is not `<time> <verb> <target>`");
  }
  words >> made.argument;
  made.at = Seconds(at);
  return made;
}

}  // namespace

double scenario::capacity() const {
  const double seconds = std::chrono::duration<double>(service_time).count();
  const double per_service = endpoints_per_service * slots / seconds;
  double smallest = std::numeric_limits<double>::infinity();
  for (const std::string& service : services) {
    double crossing = 0;
    for (const traffic_class& each : classes) {
      if (std::count(each.path.begin(), each.path.end(), service) > 0) {
        crossing += each.share;
      }
    }
    if (crossing > 0) {
      smallest = std::min(smallest, per_service / crossing);
    }
  }
  return smallest;
}

scenario ReadScenario(const std::string& path) try {
  static const std::set<std::string> kKnownKeys = {"name",
                                                   "deployment",
                                                   "seeds",
                                                   "endpoints",
                                                   "domains",
                                                   "slots",
                                                   "service_ms",
                                                   "holds_slot_while_waiting",
                                                   "deadline_ms",
                                                   "hop_delay_ms",
                                                   "client_delay_ms",
                                                   "client_tries",
                                                   "client_backoff_ms",
                                                   "client_patience_ms",
                                                   "hard_clients",
                                                   "seconds",
                                                   "trigger",
                                                   "chain",
                                                   "services",
                                                   "classes",
                                                   "demand",
                                                   "faults",
                                                   "expect"};
  const json::object from = ReadMerged(path);
  for (const auto& each : from) {
    if (!kKnownKeys.contains(std::string(each.key()))) {
      throw std::runtime_error("unknown key " + std::string(each.key()));
    }
  }
  scenario made;
  made.name = from.at("name").as_string();
  for (const json::value& seed : from.at("seeds").as_array()) {
    made.seeds.push_back(seed.to_number<std::uint64_t>());
  }
  made.endpoints_per_service = from.at("endpoints").to_number<int>();
  made.domains = from.at("domains").to_number<int>();
  made.slots = from.at("slots").to_number<int>();
  made.service_time = Milliseconds(from.at("service_ms"));
  made.holds_slot_while_waiting = from.at("holds_slot_while_waiting").as_bool();
  made.deadline = Milliseconds(from.at("deadline_ms"));
  made.hop_delay = Milliseconds(from.at("hop_delay_ms"));
  made.client_delay = Milliseconds(from.at("client_delay_ms"));
  made.client_tries = from.at("client_tries").to_number<int>();
  made.client_backoff = Milliseconds(from.at("client_backoff_ms"));
  if (const auto* patience = from.if_contains("client_patience_ms")) {
    made.client_patience = Milliseconds(*patience);
  }
  made.has_hard_clients = from.at("hard_clients").as_bool();
  made.length = Milliseconds(from.at("seconds").to_number<double>() * 1000);
  const json::array& trigger = from.at("trigger").as_array();
  made.trigger_begin = Milliseconds(trigger.at(0).to_number<double>() * 1000);
  made.trigger_end = Milliseconds(trigger.at(1).to_number<double>() * 1000);
  if (const auto* chain = from.if_contains("chain")) {
    for (int i = 1; i <= chain->to_number<int>(); ++i) {
      made.services.push_back("s" + std::to_string(i));
    }
  } else {
    made.services = ReadNames(from.at("services"));
  }
  for (const auto& each : from.at("classes").as_object()) {
    made.classes.push_back(
        ReadClass(each.key(), each.value().as_object(), made));
  }
  for (const json::value& each : from.at("demand").as_array()) {
    const json::array& pair = each.as_array();
    made.demand.push_back({Milliseconds(pair.at(0).to_number<double>() * 1000),
                           pair.at(1).to_number<double>()});
  }
  if (const auto* faults = from.if_contains("faults")) {
    for (const std::string& line : ReadNames(*faults)) {
      made.faults.push_back(ReadFault(line));
    }
  }
  for (const auto& each : from.at("expect").as_object()) {
    made.expect[each.key()] = each.value().to_number<double>();
  }
  return made;
} catch (const std::exception& error) {
  throw std::runtime_error(path + ": " + error.what());
}

}  // namespace auburnfold::scenarios
