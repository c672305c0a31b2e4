#include <gtest/gtest.h>

#include <map>
#include <string>

#include "LibDecision/Admission/capacity_switch.h"
#include "LibDecision/Routes/route_table.h"

namespace auburnfold {
namespace {

route MakeRoute(const std::string& name,
                const std::string& prefix,
                const std::string& service) {
  return {.name = class_name(name),
          .host = "Lots.example",
          .prefix = prefix,
          .services = {{service_name(service), 1}}};
}

class a_route_table : public testing::Test {
 protected:
  void Take(std::uint64_t version, const std::vector<route>& routes) {
    taken_ = table_.Apply(
        instant(), {.version = route_version(version), .routes = routes});
  }

  std::string Matched(std::string_view host, std::string_view path) const {
    const route* found = table_.Match(host, path);
    return found == nullptr ? "" : found->name.value();
  }

  route_table table_;
  bool taken_ = false;
};

class a_request : public a_route_table {};

TEST_F(a_request, FindsNothingBeforeAnyVersionIsKnown) {
  EXPECT_EQ(Matched("lots.example", "/a/1"), "");
  EXPECT_FALSE(table_.version());
}

TEST_F(a_request, TakesTheLongestPrefixOfItsHost) {
  Take(3, {MakeRoute("short", "/a/", "s"), MakeRoute("long", "/a/b/", "s")});
  EXPECT_EQ(Matched("lots.example", "/a/b/c"), "long");
  EXPECT_EQ(Matched("lots.example", "/a/c"), "short");
  EXPECT_EQ(Matched("lots.example", "/a"), "");
  EXPECT_EQ(Matched("other.example", "/a/b/c"), "");
}

TEST_F(a_request, MatchesItsHostWithoutRegardToCaseAndPort) {
  Take(3, {MakeRoute("short", "/a/", "s")});
  EXPECT_EQ(Matched("LOTS.example:8080", "/a/c"), "short");
}

TEST_F(a_request, IsNotMatchedByItsQuery) {
  Take(3, {MakeRoute("long", "/a/b/", "s")});
  EXPECT_EQ(Matched("lots.example", "/x?next=/a/b/"), "");
  EXPECT_EQ(Matched("lots.example", "/a/b/c?x=1"), "long");
}

class a_version : public a_route_table {};

TEST_F(a_version, IsNeverReplacedByAnOlderOne) {
  Take(7, {MakeRoute("new", "/a/", "s")});
  Take(5, {MakeRoute("old", "/a/", "s")});
  EXPECT_FALSE(taken_);
  EXPECT_EQ(Matched("lots.example", "/a/"), "new");
}

TEST_F(a_version, LeavesNothingOfTheOneBefore) {
  Take(7, {MakeRoute("first", "/a/", "s")});
  Take(9, {MakeRoute("second", "/b/", "s")});
  EXPECT_TRUE(taken_);
  EXPECT_EQ(Matched("lots.example", "/a/"), "");
}

TEST_F(a_version, WithADownloadSwitchesPlanningOnUntilOneWithout) {
  using enum capacity_planning;
  EXPECT_FALSE(IsPlanning(kWithDownloads, table_));
  route download = MakeRoute("one", "/a/", "s");
  download.is_download = true;
  Take(3, {download, MakeRoute("two", "/b/", "s")});
  EXPECT_TRUE(IsPlanning(kWithDownloads, table_));
  EXPECT_FALSE(IsPlanning(kNever, table_));
  Take(4, {MakeRoute("two", "/b/", "s")});
  EXPECT_FALSE(IsPlanning(kWithDownloads, table_));
  EXPECT_TRUE(IsPlanning(kAlways, table_));
}

class weighted_services : public a_route_table {};

TEST_F(weighted_services, GetTheirSharesOverFewRequests) {
  route split = MakeRoute("split", "/a/", "x");
  split.services = {
      {service_name("x"), 90}, {service_name("y"), 10}, {service_name("z"), 0}};
  Take(1, {split});
  const route* found = table_.Match("lots.example", "/a/");
  std::map<std::string, int> shares;
  for (int i = 0; i < 50; ++i) {
    ++shares[table_.NextService(*found).value()];
  }
  EXPECT_EQ(shares["x"], 45);
  EXPECT_EQ(shares["y"], 5);
  EXPECT_EQ(shares["z"], 0);
}

}  // namespace
}  // namespace auburnfold
