#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "scenario.h"
#include "virtual_cluster.h"

namespace auburnfold::scenarios {
namespace {

std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(SCENARIO_FOLDER "/scenarios")) {
    files.push_back(entry.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

class a_scenario : public testing::TestWithParam<std::string> {};

TEST_P(a_scenario, KeepsItsBoundsForEverySeed) {
  const scenario plan = ReadScenario(GetParam());
  for (const std::uint64_t seed : plan.seeds) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    auto figures = virtual_cluster(plan, seed).Run();
    for (const auto& [figure, bound] : plan.expect) {
      const bool is_share = figure == "goodput" ||
                            figure.starts_with("important_success") ||
                            figure.starts_with("success_");
      ASSERT_TRUE(figures.contains(figure)) << figure;
      if (is_share) {
        EXPECT_GE(figures[figure], bound) << figure;
      } else {
        EXPECT_LE(figures[figure], bound) << figure;
      }
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Every,
    a_scenario,
    testing::ValuesIn(ScenarioFiles()),
    [](const testing::TestParamInfo<std::string>& file) {
      return std::filesystem::path(file.param).stem().string();
    });

}  // namespace
}  // namespace auburnfold::scenarios
