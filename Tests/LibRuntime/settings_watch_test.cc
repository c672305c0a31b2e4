#include "LibRuntime/Settings/settings_change_detector.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace auburnfold {
namespace {

class a_watched_settings_file : public testing::Test {
 protected:
  a_watched_settings_file()
      : file_(std::filesystem::temp_directory_path() /
              ("auburnfold-settings-" + std::to_string(::getpid()))) {
    Write(Text("info", 4));
  }
  ~a_watched_settings_file() override { std::filesystem::remove(file_); }

  static std::string Text(const std::string& level, int admin_port) {
    return R"({"host":"10.0.0.1","domain":"a","call_port":1,"peer_port":2,)"
           R"("control_port":3,"log_level":")" +
           level + R"(","admin_port":)" + std::to_string(admin_port) + "}";
  }

  void Write(const std::string& text) const {
    std::ofstream(file_, std::ios::trunc) << text;
  }

  settings_change_detector Watch() const {
    return {file_, *ParseNodeSettings(file_, Text("info", 4))};
  }

  std::string file_;
};

TEST_F(a_watched_settings_file, IsQuietWhileItStaysTheSame) {
  settings_change_detector watch = Watch();
  EXPECT_FALSE(watch.Check().is_changed());
  Write(Text("info", 4));
  EXPECT_FALSE(watch.Check().is_changed());
}

TEST_F(a_watched_settings_file, TakesWhatCanChangeAndNamesWhatCannot) {
  settings_change_detector watch = Watch();
  Write(Text("warn", 5));
  const settings_change change = watch.Check();
  ASSERT_TRUE(change.new_settings);
  EXPECT_EQ(change.new_settings->log_level, "warn");
  EXPECT_EQ(ToLogLine(change),
            R"({"event":"settings_reloaded","applied":["log_level"],)"
            R"("at_next_start":["admin_port"]})");
  EXPECT_FALSE(watch.Check().is_changed());
}

TEST_F(a_watched_settings_file, KeepsTheOldSettingsIfTheNewOnesAreWrong) {
  settings_change_detector watch = Watch();
  Write(Text("loud", 4));
  const settings_change change = watch.Check();
  EXPECT_FALSE(change.new_settings);
  ASSERT_TRUE(change.error);
  EXPECT_EQ(change.error->key, "log_level");
  EXPECT_FALSE(watch.Check().is_changed());
  Write(Text("debug", 4));
  EXPECT_TRUE(watch.Check().new_settings);
}

TEST_F(a_watched_settings_file, MayBeAwayWhileItIsReplaced) {
  settings_change_detector watch = Watch();
  std::filesystem::remove(file_);
  EXPECT_FALSE(watch.Check().is_changed());
  Write(Text("warn", 4));
  EXPECT_TRUE(watch.Check().new_settings);
}

}  // namespace
}  // namespace auburnfold
