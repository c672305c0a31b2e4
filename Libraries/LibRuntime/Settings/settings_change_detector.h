#ifndef LIBRUNTIME_SETTINGS_SETTINGS_CHANGE_DETECTOR_H_
#define LIBRUNTIME_SETTINGS_SETTINGS_CHANGE_DETECTOR_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibRuntime/Settings/node_settings.h"

namespace auburnfold {

/// The result of checking a settings file for changes.
struct settings_change {
  /// The settings to use from now on, if the file changed and is valid.
  std::optional<node_settings> new_settings;
  /// Changed keys that take effect immediately.
  std::vector<std::string_view> applied;
  /// Changed keys that take effect at the next start.
  std::vector<std::string_view> at_next_start;
  /// Why the changed file was rejected. The old settings stay in effect.
  std::optional<settings_error> error;

  bool is_changed() const { return new_settings || error; }
};

/// Formats the change as a log message with one JSON object.
std::string ToLogLine(const settings_change& change);

/// Detects changes of a settings file and compares it with the settings in use.
class settings_change_detector {
 public:
  settings_change_detector(std::string file, node_settings current);

  /// Reads the file and compares it. Each change, valid or not, is reported
  /// once.
  settings_change Check();

 private:
  std::string file_;
  /// The text that was last read.
  std::string last_text_;
  node_settings current_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_SETTINGS_SETTINGS_CHANGE_DETECTOR_H_
