#include "LibRuntime/Settings/node_settings.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>
#include <fstream>
#include <sstream>
#include <utility>

#include "LibDecision/hash.h"
#include "LibRuntime/Settings/settings_reader.h"

namespace auburnfold {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kMaxStopLimitMs = 600'000;
constexpr std::uint64_t kMaxStopLingerMs = 60'000;
constexpr double kMaxApiKeyValiditySeconds = 86'400;
constexpr std::uint64_t kMaxLabelLimit = 1'000;

const std::vector<std::string_view>& LogLevels() {
  static const std::vector<std::string_view> kLevels{"off", "error", "warn",
                                                     "info", "debug"};
  return kLevels;
}

const std::vector<std::string_view>& PlanningChoices() {
  static const std::vector<std::string_view> kChoices{"never", "with_downloads",
                                                      "always"};
  return kChoices;
}

constexpr std::string_view kOwnDialect = "own";

const std::vector<std::string_view>& Dialects() {
  static const std::vector<std::string_view> kDialects{kOwnDialect, "platform"};
  return kDialects;
}

leaf::result<json::value> ParseJsonWithComments(const std::string& file,
                                                std::string_view text) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::system::error_code error;
  json::value parsed = json::parse(json::string_view(text.data(), text.size()),
                                   error, {}, options);
  if (error) {
    return leaf::new_error(
        settings_error{file, {}, "is not JSON: " + error.message()});
  }
  if (!parsed.is_object()) {
    return leaf::new_error(settings_error{file, {}, "must be one JSON object"});
  }
  return parsed;
}

leaf::result<void> ReadPorts(settings_reader& reader, node_settings& settings) {
  using enum presence;
  BOOST_LEAF_CHECK(reader.ReadPort("call_port", kRequired, settings.call_port));
  BOOST_LEAF_CHECK(
      reader.ReadPort("ready_port", kOptional, settings.ready_port));
  BOOST_LEAF_CHECK(
      reader.ReadPort("report_port", kOptional, settings.report_port));
  BOOST_LEAF_CHECK(reader.ReadPort("peer_port", kRequired, settings.peer_port));
  const presence control =
      settings.dialect == kOwnDialect ? kRequired : kOptional;
  BOOST_LEAF_CHECK(
      reader.ReadPort("control_port", control, settings.control_port));
  return reader.ReadPort("admin_port", kRequired, settings.admin_port);
}

leaf::result<void> ReadStore(settings_reader& reader, node_settings& settings) {
  using enum presence;
  BOOST_LEAF_CHECK(
      reader.ReadHost("store_host", kOptional, settings.store_host));
  const presence port = settings.store_host.empty() ? kOptional : kRequired;
  BOOST_LEAF_CHECK(reader.ReadPort("store_port", port, settings.store_port));
  return reader.ReadAddress("store_address", settings.store_host,
                            settings.store_port);
}

leaf::result<void> ReadLimits(settings_reader& reader,
                              node_settings& settings) {
  BOOST_LEAF_CHECK(reader.ReadMilliseconds("stop_limit_ms", kMaxStopLimitMs,
                                           settings.stop_limit));
  BOOST_LEAF_CHECK(reader.ReadSeconds("stop_limit_s", kMaxStopLimitMs / 1000.0,
                                      settings.stop_limit));
  BOOST_LEAF_CHECK(reader.ReadMilliseconds("stop_linger_ms", kMaxStopLingerMs,
                                           settings.stop_linger));
  BOOST_LEAF_CHECK(reader.ReadSeconds("api_key_validity_s",
                                      kMaxApiKeyValiditySeconds,
                                      settings.api_key_validity));
  std::uint64_t labels = settings.label_limit;
  BOOST_LEAF_CHECK(reader.ReadInteger("label_limit", presence::kOptional, 1,
                                      kMaxLabelLimit, labels));
  settings.label_limit = labels;
  return {};
}

}  // namespace

leaf::result<node_settings> LoadNodeSettings(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    return leaf::new_error(settings_error{file, {}, "cannot be read"});
  }
  return ParseNodeSettings(file, text.str());
}

leaf::result<node_settings> ParseNodeSettings(const std::string& file,
                                              std::string_view text) {
  using enum presence;
  BOOST_LEAF_AUTO(parsed, ParseJsonWithComments(file, text));
  settings_reader reader(file, {}, parsed.get_object());
  node_settings settings;
  std::string domain;
  BOOST_LEAF_CHECK(reader.ReadHost("host", kRequired, settings.host));
  BOOST_LEAF_CHECK(reader.ReadName("domain", kRequired, domain));
  settings.domain = domain_name(domain);
  BOOST_LEAF_CHECK(reader.ReadChoice("dialect", Dialects(), settings.dialect));
  BOOST_LEAF_CHECK(ReadPorts(reader, settings));
  settings.node = node_id(
      StableHash(settings.host + ":" + std::to_string(settings.peer_port)));
  std::string service;
  BOOST_LEAF_CHECK(reader.ReadName("service", kOptional, service));
  settings.service = service_name(service);
  BOOST_LEAF_CHECK(reader.ReadNodeId("node", settings.node));
  BOOST_LEAF_CHECK(
      reader.ReadHost("endpoint_host", kOptional, settings.endpoint_host));
  BOOST_LEAF_CHECK(reader.ReadAddress(
      "endpoint_address", settings.endpoint_host, settings.endpoint_port));
  BOOST_LEAF_CHECK(reader.ReadAddresses("seeds", settings.seeds));
  BOOST_LEAF_CHECK(ReadStore(reader, settings));
  BOOST_LEAF_CHECK(ReadLimits(reader, settings));
  BOOST_LEAF_CHECK(
      reader.ReadChoice("log_level", LogLevels(), settings.log_level));
  BOOST_LEAF_CHECK(reader.ReadChoice("capacity_planning", PlanningChoices(),
                                     settings.capacity_planning));
  BOOST_LEAF_CHECK(reader.ReadObjectText("admin", settings.admin));
  BOOST_LEAF_CHECK(reader.RejectUnknownKeys());
  return settings;
}

}  // namespace auburnfold
