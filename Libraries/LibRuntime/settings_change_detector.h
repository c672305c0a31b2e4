#ifndef LIBRUNTIME_SETTINGS_CHANGE_DETECTOR_H_
#define LIBRUNTIME_SETTINGS_CHANGE_DETECTOR_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibRuntime/node_settings.h"

namespace auburnfold {

/// What became of a settings file since it was last looked at.
struct settings_change {
  /// The settings to go on with, if the file changed and is valid.
  std::optional<node_settings> new_settings;
  /// Keys whose new values take effect at once.
  std::vector<std::string_view> applied;
  /// Keys whose new values are used from the next start on.
  std::vector<std::string_view> at_next_start;
  /// Why the changed file was not taken; the old settings stay in force.
  std::optional<settings_error> error;

  bool is_changed() const { return new_settings || error; }
};

/// The change as one JSON object for the log.
std::string ToLogLine(const settings_change& change);

/// Compares a settings file with what is in force.
class settings_change_detector {
 public:
  settings_change_detector(std::string file, node_settings current);

  /// Reads the file. Reports each change, valid or not, once.
  settings_change Check();

 private:
  std::string file_;
  /// As last read.
  std::string last_text_;
  node_settings current_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_SETTINGS_CHANGE_DETECTOR_H_
