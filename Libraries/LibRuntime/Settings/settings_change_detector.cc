#include "LibRuntime/Settings/settings_change_detector.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <sstream>
#include <utility>

namespace auburnfold {

namespace {

// Returns an empty text if the file cannot be read, since it may be in the
// middle of being replaced.
std::string ReadText(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  return stream ? text.str() : std::string();
}

void CollectChanges(const node_settings& before,
                    const node_settings& now,
                    settings_change& change) {
  const auto note = [](bool is_changed, std::string_view key,
                       std::vector<std::string_view>& keys) {
    if (is_changed) {
      keys.push_back(key);
    }
  };
  note(before.log_level != now.log_level, "log_level", change.applied);
  note(before.stop_linger != now.stop_linger, "stop_linger_ms", change.applied);
  note(before.store_host != now.store_host ||
           before.store_port != now.store_port,
       "store_address", change.applied);
  std::vector<std::string_view>& later = change.at_next_start;
  note(before.node != now.node, "node", later);
  note(before.host != now.host, "host", later);
  note(before.domain != now.domain, "domain", later);
  note(before.service != now.service, "service", later);
  note(before.dialect != now.dialect, "dialect", later);
  note(before.capacity_planning != now.capacity_planning, "capacity_planning",
       later);
  note(before.call_port != now.call_port, "call_port", later);
  note(before.ready_port != now.ready_port, "ready_port", later);
  note(before.report_port != now.report_port, "report_port", later);
  note(before.peer_port != now.peer_port, "peer_port", later);
  note(before.control_port != now.control_port, "control_port", later);
  note(before.admin_port != now.admin_port, "admin_port", later);
  note(before.endpoint_host != now.endpoint_host, "endpoint_host", later);
  note(before.endpoint_port != now.endpoint_port, "endpoint_address", later);
  note(before.seeds != now.seeds, "seeds", later);
  note(before.stop_limit != now.stop_limit, "stop_limit", later);
  note(before.api_key_validity != now.api_key_validity, "api_key_validity_s",
       later);
  note(before.label_limit != now.label_limit, "label_limit", later);
  note(before.admin != now.admin, "admin", later);
}

boost::json::array ToJsonArray(const std::vector<std::string_view>& keys) {
  boost::json::array list;
  for (const std::string_view key : keys) {
    list.emplace_back(key);
  }
  return list;
}

}  // namespace

std::string ToLogLine(const settings_change& change) {
  if (change.error) {
    return boost::json::serialize(
        boost::json::object{{"event", "settings_rejected"},
                            {"key", change.error->key},
                            {"reason", change.error->reason}});
  }
  return boost::json::serialize(boost::json::object{
      {"event", "settings_reloaded"},
      {"applied", ToJsonArray(change.applied)},
      {"at_next_start", ToJsonArray(change.at_next_start)}});
}

settings_change_detector::settings_change_detector(std::string file,
                                                   node_settings current)
    : file_(std::move(file)),
      last_text_(ReadText(file_)),
      current_(std::move(current)) {}

settings_change settings_change_detector::Check() {
  settings_change change;
  std::string text = ReadText(file_);
  if (text.empty() || text == last_text_) {
    return change;
  }
  last_text_ = std::move(text);
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(settings, ParseNodeSettings(file_, last_text_));
        CollectChanges(current_, settings, change);
        current_ = settings;
        change.new_settings = std::move(settings);
        return {};
      },
      [&](const settings_error& error) { change.error = error; },
      [&] {
        change.error = settings_error{file_, {}, "cannot be read"};
      });
  return change;
}

}  // namespace auburnfold
