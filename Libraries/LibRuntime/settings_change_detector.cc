#include "LibRuntime/settings_change_detector.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <sstream>
#include <utility>

namespace auburnfold {

namespace {

// Empty if it cannot be read: it may be just being replaced.
std::string ReadText(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  return stream ? text.str() : std::string();
}

void CollectChanges(const node_settings& old_settings,
                    const node_settings& new_settings,
                    settings_change& change) {
  const auto add_if_changed = [](bool is_changed, std::string_view key,
                                 std::vector<std::string_view>& keys) {
    if (is_changed) {
      keys.push_back(key);
    }
  };
  add_if_changed(old_settings.log_level != new_settings.log_level, "log_level",
                 change.applied);
  add_if_changed(old_settings.stop_linger != new_settings.stop_linger,
                 "stop_linger_ms", change.applied);
  add_if_changed(old_settings.store_host != new_settings.store_host ||
                     old_settings.store_port != new_settings.store_port,
                 "store_address", change.applied);
  std::vector<std::string_view>& next_start = change.at_next_start;
  add_if_changed(old_settings.node != new_settings.node, "node", next_start);
  add_if_changed(old_settings.host != new_settings.host, "host", next_start);
  add_if_changed(old_settings.domain != new_settings.domain, "domain",
                 next_start);
  add_if_changed(old_settings.service != new_settings.service, "service",
                 next_start);
  add_if_changed(old_settings.dialect != new_settings.dialect, "dialect",
                 next_start);
  add_if_changed(old_settings.call_port != new_settings.call_port, "call_port",
                 next_start);
  add_if_changed(old_settings.ready_port != new_settings.ready_port,
                 "ready_port", next_start);
  add_if_changed(old_settings.report_port != new_settings.report_port,
                 "report_port", next_start);
  add_if_changed(old_settings.peer_port != new_settings.peer_port, "peer_port",
                 next_start);
  add_if_changed(old_settings.control_port != new_settings.control_port,
                 "control_port", next_start);
  add_if_changed(old_settings.admin_port != new_settings.admin_port,
                 "admin_port", next_start);
  add_if_changed(old_settings.endpoint_host != new_settings.endpoint_host,
                 "endpoint_host", next_start);
  add_if_changed(old_settings.endpoint_port != new_settings.endpoint_port,
                 "endpoint_address", next_start);
  add_if_changed(old_settings.seeds != new_settings.seeds, "seeds", next_start);
  add_if_changed(old_settings.stop_limit != new_settings.stop_limit,
                 "stop_limit", next_start);
  add_if_changed(old_settings.label_limit != new_settings.label_limit,
                 "label_limit", next_start);
  add_if_changed(old_settings.admin != new_settings.admin, "admin", next_start);
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
