#include "LibDecision/Routes/config_check.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "LibDecision/Routes/config_difference.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

route RouteTo(const std::string& name,
              const std::string& prefix,
              const std::string& service) {
  return {.name = class_name(name),
          .host = "h.example",
          .prefix = prefix,
          .services = {{service_name(service), 1}},
          .max_attempts = 2,
          .timeout = 2s,
          .objective = 1s};
}

tenant_config Tenant(const std::string& name, const std::string& key) {
  return {.name = tenant_name(name), .keys = {api_key(key)}};
}

class a_configuration_check : public testing::Test {
 protected:
  a_configuration_check() {
    config.version = route_version(2);
    config.routes = {RouteTo("r-1", "/a/", "x"), RouteTo("r-2", "/b/", "y")};
    config.services = {{service_name("x"), "/h"}, {service_name("y"), "/h"}};
    config.tenants = {Tenant("t", "k1"), Tenant("u", "k2")};
  }

  /// Expects one finding of `fault` about `field` of `entry`, and no other.
  void ExpectOnly(config_fault fault,
                  const std::string& entry,
                  const std::string& field) const {
    const auto found = CheckConfig(config);
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].fault, fault);
    EXPECT_EQ(found[0].entry, entry);
    EXPECT_EQ(found[0].field, field);
    EXPECT_NE(found[0].reason, "");
  }

  route_config config;
};

TEST_F(a_configuration_check, FindsNothingInASoundConfiguration) {
  EXPECT_TRUE(CheckConfig(config).empty());
}

TEST_F(a_configuration_check, NamesPartsThatCannotBeRead) {
  config.unread = {{config_field::kRouteKind, "r-1", "\"new\""}};
  ExpectOnly(config_fault::kUnread, "r-1", "route_kind");
}

TEST_F(a_configuration_check, FindsARouteThatNoRequestReaches) {
  config.routes.push_back(RouteTo("r-3", "/a/", "x"));
  config.routes.back().host = "H.EXAMPLE:80";
  ExpectOnly(config_fault::kNeverMatches, "r-3", "prefix");
  EXPECT_FALSE(IsError(config_fault::kNeverMatches));
}

TEST_F(a_configuration_check, FindsAPartThatGetsNoRequests) {
  config.routes[0].services.push_back({service_name("y"), 0});
  ExpectOnly(config_fault::kNeverMatches, "r-1", "weight");
}

TEST_F(a_configuration_check, FindsServicesThatAreUnknownOrUnused) {
  config.routes[1].services = {{service_name("z"), 1}};
  const auto found = CheckConfig(config);
  ASSERT_EQ(found.size(), 2U);
  EXPECT_EQ(found[0].fault, config_fault::kUnknownService);
  EXPECT_EQ(found[0].entry, "r-2");
  EXPECT_EQ(found[1].fault, config_fault::kUnused);
  EXPECT_EQ(found[1].entry, "y");
}

TEST_F(a_configuration_check, FindsAKeyOfTwoTenantsWithoutShowingIt) {
  config.tenants[1].keys = {api_key("k1")};
  ExpectOnly(config_fault::kSharedKey, "u", "keys");
  EXPECT_EQ(CheckConfig(config)[0].reason.find("k1"), std::string::npos);
}

TEST_F(a_configuration_check, AcceptsAKeyThatATenantListsTwice) {
  config.tenants[0].keys = {api_key("k1"), api_key("k1")};
  EXPECT_TRUE(CheckConfig(config).empty());
}

TEST_F(a_configuration_check, FindsATenantThatNobodyCanBe) {
  config.tenants[0].keys.clear();
  ExpectOnly(config_fault::kNeverMatches, "t", "keys");
}

TEST_F(a_configuration_check, FindsNamesThatStandTwice) {
  config.tenants[1].name = tenant_name("t");
  ExpectOnly(config_fault::kDuplicateName, "t", "name");
}

TEST_F(a_configuration_check, FindsLimitsThatContradictEachOther) {
  config.routes[0].max_attempts = 0;
  ExpectOnly(config_fault::kContradiction, "r-1", "max_attempts");
  config.routes[0].max_attempts = 1;
  config.limits.idle_timeout = 1s;
  ExpectOnly(config_fault::kContradiction, "", "idle_timeout");
}

TEST_F(a_configuration_check, FindsValuesThatHaveNoEffect) {
  config.routes[0].objective = 3s;
  ExpectOnly(config_fault::kNoEffect, "r-1", "objective");
  config.routes[0].objective = 1s;
  config.tenants[0].quota.burst = 5;
  ExpectOnly(config_fault::kNoEffect, "t", "burst");
  EXPECT_FALSE(IsError(config_fault::kNoEffect));
}

TEST_F(a_configuration_check, FindsAVersionThatNodesWouldIgnore) {
  const route_config in_force = config;
  const auto found = CheckConfig(config, &in_force);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].fault, config_fault::kNotNewer);
  config.version = route_version(3);
  EXPECT_TRUE(CheckConfig(config, &in_force).empty());
}

class a_comparison_of_configurations : public a_configuration_check {};

TEST_F(a_comparison_of_configurations, IsEmptyForTheSameEntries) {
  EXPECT_TRUE(CompareConfigs(config, config).empty());
}

TEST_F(a_comparison_of_configurations, NamesWhatWasAddedRemovedAndChanged) {
  route_config next = config;
  next.routes[0].timeout = 1500ms;
  next.routes.erase(next.routes.begin() + 1);
  next.services.push_back({service_name("z"), "/h"});
  const std::vector<config_difference> expected{
      {"route r-2", "", "present", ""},
      {"route r-1", "timeout", "2000 ms", "1500 ms"},
      {"service z", "", "", "present"}};
  EXPECT_EQ(CompareConfigs(config, next), expected);
}

TEST_F(a_comparison_of_configurations, CountsKeysAndShowsQuotas) {
  route_config next = config;
  next.tenants[0].keys = {api_key("k3"), api_key("k4")};
  next.tenants[0].quota = {request_rate(12.5), 30};
  const std::vector<config_difference> expected{
      {"tenant t", "burst", "0", "30"},
      {"tenant t", "rate", "unlimited", "12.5"},
      {"tenant t", "keys", "1 removed", "2 added"}};
  EXPECT_EQ(CompareConfigs(config, next), expected);
}

}  // namespace
}  // namespace auburnfold
