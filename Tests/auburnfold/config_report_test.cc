#include "auburnfold/config_report.h"

#include <gtest/gtest.h>

#include <sstream>

namespace auburnfold {
namespace {

TEST(a_config_report, IsTextWithALineForEachFinding) {
  const config_report report{
      .findings = {{config_fault::kUnused, "x", "service", "no route"},
                   {config_fault::kNotNewer, "", "version", "too old"}},
      .differences = {{"route r", "", "", "present"},
                      {"limits", "idle_timeout", "1 ms", "2 ms"}}};
  std::ostringstream out;
  WriteText(report, out);
  EXPECT_EQ(out.str(),
            "warning unused: x service: no route\n"
            "error not-newer: version: too old\n"
            "added route r\n"
            "changed limits idle_timeout: 1 ms -> 2 ms\n");
  EXPECT_TRUE(report.has_errors());
}

TEST(a_config_report, IsJsonForTools) {
  const config_report report{
      .findings = {{config_fault::kUnused, "x", "service", "no \"route\""}}};
  std::ostringstream out;
  WriteJson(report, out);
  EXPECT_EQ(out.str(),
            R"({"findings":[{"severity":"warning","fault":"unused",)"
            R"("entry":"x","field":"service","reason":"no \"route\""}],)"
            R"("differences":[]})"
            "\n");
  EXPECT_FALSE(report.has_errors());
}

}  // namespace
}  // namespace auburnfold
