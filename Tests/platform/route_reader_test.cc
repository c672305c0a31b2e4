#include "platform/route_reader.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace auburnfold::platform {
namespace {

using namespace std::chrono_literals;

std::string Config(const std::string& entries) {
  return R"({"version":"r12","resources":[)" + entries + "]}";
}

constexpr char kSplit[] =
    R"({"resourceType":"routes","metadata":{"name":"r-1"},"spec":)"
    R"({"host":"h.example","prefix":"/a/","kind":"idempotent","timeoutS":5,)"
    R"("targetLatencyS":1.2,"priority":2,"maxAttempts":3,"weightedServices":)"
    R"([{"service":"x","weight":90},{"service":"y","weight":10}]}})";

class a_configuration : public testing::Test {};

TEST_F(a_configuration, IsReadWithItsVersionServicesAndLimits) {
  const auto read = ReadRoutes(Config(
      R"({"resourceType":"services","metadata":{"name":"x"},"spec":{"healthPath":"/h"}},)"
      R"({"resourceType":"limits","metadata":{},"spec":)"
      R"({"maxHeaderBytes":1,"maxBodyBytes":2,"headerTimeoutS":3,)"
      R"("idleTimeoutS":15}})"));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->version, route_version(12));
  ASSERT_EQ(read->services.size(), 1U);
  EXPECT_EQ(read->services[0].name, service_name("x"));
  EXPECT_EQ(read->services[0].health_path, "/h");
  EXPECT_EQ(read->limits.body_bytes, 2U);
  EXPECT_EQ(read->limits.idle_timeout, 15s);
}

TEST_F(a_configuration, HasRoutesInTheProductsTerms) {
  const auto read = ReadRoutes(Config(kSplit));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->routes.size(), 1U);
  const route& found = read->routes.front();
  EXPECT_EQ(found.name, class_name("r-1"));
  EXPECT_EQ(found.timeout, 5s);
  EXPECT_EQ(found.objective, 1200ms);
  EXPECT_EQ(found.priority, 5);
  EXPECT_EQ(found.max_attempts, 3);
  EXPECT_TRUE(found.is_idempotent);
  ASSERT_EQ(found.services.size(), 2U);
  EXPECT_EQ(found.services[1].weight, 10U);
}

TEST_F(a_configuration, PassesOverKindsOfEntriesThatItDoesNotKnow) {
  const auto read = ReadRoutes(
      Config(R"({"resourceType":"later","metadata":{"name":"z"},"spec":{}})"));
  ASSERT_TRUE(read);
  EXPECT_TRUE(read->routes.empty());
}

TEST_F(a_configuration, IsRefusedWholeIfAnyPartMakesNoSense) {
  std::string text = Config(kSplit);
  for (const auto& [from, to] :
       {std::pair{"\"/a/\"", "\"a\""}, std::pair{"\"idempotent\"", "\"x\""},
        std::pair{"\"timeoutS\":5", "\"timeoutS\":-5"},
        std::pair{"\"weight\":90", "\"weight\":\"90\""},
        std::pair{"\"r12\"", "\"12\""}, std::pair{"\"r12\"", "\"r\""}}) {
    std::string broken = text;
    broken.replace(broken.find(from), std::string(from).size(), to);
    EXPECT_FALSE(ReadRoutes(broken)) << broken;
  }
  EXPECT_FALSE(ReadRoutes(text.substr(0, text.size() / 2)));
  EXPECT_FALSE(ReadRoutes("[]"));
  EXPECT_FALSE(ReadRoutes(""));
}

}  // namespace
}  // namespace auburnfold::platform
