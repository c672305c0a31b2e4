#include "platform/route_reader.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "LibRuntime/Requests/headers.h"

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

constexpr char kOther[] =
    R"({"resourceType":"routes","metadata":{"name":"r-2"},"spec":)"
    R"({"host":"h.example","prefix":"/b/","kind":"idempotent","timeoutS":7,)"
    R"("service":"z"}})";

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

// A limit of 2^32 - 1 wrapped around with what nodes add to a header, and a
// larger one was taken for none.
TEST_F(a_configuration, HasItsLimitsBoundedByWhatANodeCanHold) {
  for (const char* limit : {"1048577", "4294967295", "4294967296"}) {
    const auto read = ReadRoutes(
        Config(R"({"resourceType":"limits","metadata":{},"spec":)"
               R"({"maxHeaderBytes":)" +
               std::string(limit) + R"(,"maxBodyBytes":33554433}})"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->limits.header_bytes, caller_limits::kMaxHeaderBytes);
    EXPECT_EQ(read->limits.body_bytes, caller_limits::kMaxBodyBytes);
    ASSERT_EQ(read->unread.size(), 2U);
    EXPECT_EQ(read->unread[0].field, config_field::kLimit);
    EXPECT_EQ(read->unread[0].value, limit);
  }
}

TEST_F(a_configuration, HasTenantsWithKeysPriorityAndQuota) {
  const auto read = ReadRoutes(Config(
      R"({"resourceType":"tenants","metadata":{"name":"t"},"spec":)"
      R"({"apiKeys":["k1","k2"],"priority":1,"ratePerS":335,"burst":30}},)"
      R"({"resourceType":"tenants","metadata":{"name":"u"},"spec":)"
      R"({"apiKeys":["k3",4],"ratePerS":"many"}})"));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->tenants.size(), 2U);
  const tenant_config& limited = read->tenants[0];
  EXPECT_EQ(limited.name, tenant_name("t"));
  EXPECT_EQ(limited.keys, (std::vector{api_key("k1"), api_key("k2")}));
  EXPECT_EQ(limited.priority, 6);
  EXPECT_EQ(limited.quota, (tenant_quota{request_rate(335), 30}));
  const tenant_config& partly_read = read->tenants[1];
  EXPECT_EQ(partly_read.keys, std::vector{api_key("k3")});
  EXPECT_FALSE(partly_read.priority);
  EXPECT_FALSE(partly_read.quota.is_limited());
  ASSERT_EQ(read->unread.size(), 2U);
  EXPECT_EQ(read->unread[0].field, config_field::kTenantKeys);
  EXPECT_EQ(read->unread[0].value, "");
  EXPECT_EQ(read->unread[1].field, config_field::kTenantQuota);
}

TEST_F(a_configuration, HasDownloadsThatMayBeRepeated) {
  const auto read = ReadRoutes(
      Config(R"({"resourceType":"routes","metadata":{"name":"r-1"},"spec":)"
             R"({"host":"h","prefix":"/a/","kind":"download","timeoutS":5,)"
             R"("service":"x","anonymous":true}})"));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->routes.size(), 1U);
  EXPECT_TRUE(read->routes[0].is_idempotent);
  EXPECT_TRUE(read->routes[0].is_download);
  EXPECT_TRUE(read->routes[0].is_anonymous);
  EXPECT_TRUE(read->unread.empty());
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

// An operator's platform is upgraded before its nodes: the word that a newer
// configuration has and this version lacks must not take the others along.
struct unknown_part {
  const char* name;
  const char* from;
  const char* to;
  config_field field;
};

constexpr unknown_part kUnknownParts[] = {
    {"Kind", R"("idempotent")", R"("streamed")", config_field::kRouteKind},
    {"KindOfAnotherType", R"("idempotent")", "7", config_field::kRouteKind},
    {"Timeout", R"("timeoutS":5)", R"("timeoutS":-5)",
     config_field::kRouteTimeout},
    {"Target", "1.2", R"("soon")", config_field::kRouteTarget},
    {"Priority", R"("priority":2)", R"("priority":"high")",
     config_field::kRoutePriority},
    {"Attempts", R"("maxAttempts":3)", R"("maxAttempts":"all")",
     config_field::kRouteAttempts},
    {"Weight", R"("weight":90)", R"("weight":"90")",
     config_field::kRouteService},
    {"Services", R"([{"service":"x","weight":90},{"service":"y","weight":10}])",
     R"({"x":90})", config_field::kRouteService},
    {"Prefix", R"("/a/")", R"("a")", config_field::kRouteMatch},
    {"Host", R"("h.example")", "{}", config_field::kRouteMatch},
    {"ResourceType", R"("resourceType":"routes")", R"("resourceType":"later")",
     config_field::kResourceType},
    {"Resource", R"("metadata")", R"("later")", config_field::kResource},
};

class an_unknown_part : public testing::TestWithParam<unknown_part> {
 protected:
  static std::optional<route_config> Read() {
    std::string text = kSplit;
    text.replace(text.find(GetParam().from),
                 std::string(GetParam().from).size(), GetParam().to);
    return ReadRoutes(Config(text + "," + kOther));
  }
};

TEST_P(an_unknown_part, LeavesTheOtherRoutesInForce) {
  const auto read = Read();
  ASSERT_TRUE(read);
  ASSERT_FALSE(read->routes.empty());
  const route& other = read->routes.back();
  EXPECT_EQ(other.name, class_name("r-2"));
  EXPECT_TRUE(other.is_idempotent);
  EXPECT_EQ(other.timeout, 7s);
}

TEST_P(an_unknown_part, IsNoted) {
  const auto read = Read();
  ASSERT_TRUE(read);
  ASSERT_FALSE(read->unread.empty());
  EXPECT_EQ(read->unread.back().field, GetParam().field);
}

INSTANTIATE_TEST_SUITE_P(Each,
                         an_unknown_part,
                         testing::ValuesIn(kUnknownParts),
                         [](const auto& each) {
                           return std::string(each.param.name);
                         });

route ReadOnlyRoute(const std::string& from, const std::string& to) {
  std::string text = kSplit;
  text.replace(text.find(from), from.size(), to);
  const auto read = ReadRoutes(Config(text));
  return read && read->routes.size() == 1 ? read->routes.front() : route();
}

TEST_F(a_configuration, ReadsAKindThatItDoesNotKnowAsNotIdempotent) {
  const route found = ReadOnlyRoute("\"idempotent\"", "\"streamed\"");
  EXPECT_FALSE(found.is_idempotent);
  EXPECT_EQ(found.max_attempts, 3);
  EXPECT_EQ(found.services.size(), 2U);
}

TEST_F(a_configuration, ReadsAnUploadAsNotIdempotent) {
  std::string text = kSplit;
  text.replace(text.find("idempotent"), std::string("idempotent").size(),
               "upload");
  const auto read = ReadRoutes(Config(text));
  ASSERT_TRUE(read);
  EXPECT_FALSE(read->routes.front().is_idempotent);
  EXPECT_TRUE(read->unread.empty());
}

TEST_F(a_configuration, KeepsTheServicesOfARouteThatItUnderstands) {
  const route found = ReadOnlyRoute("\"weight\":90", "\"weight\":\"90\"");
  ASSERT_EQ(found.services.size(), 1U);
  EXPECT_EQ(found.services.front().service, service_name("y"));
}

// Requests of such a route would otherwise match a shorter prefix, which may
// lead to another service.
TEST_F(a_configuration, KeepsARouteWithoutAServiceThatItUnderstands) {
  const route found = ReadOnlyRoute("\"weightedServices\"", "\"balanced\"");
  EXPECT_EQ(found.prefix, "/a/");
  EXPECT_TRUE(found.services.empty());
}

TEST_F(a_configuration, MayHaveFieldsThatItDoesNotKnow) {
  const route found = ReadOnlyRoute("\"kind\"", "\"later\":{},\"kind\"");
  EXPECT_TRUE(found.is_idempotent);
  EXPECT_EQ(found.timeout, 5s);
}

TEST_F(a_configuration, IsRefusedIfItHasNoVersionOrNoList) {
  const std::string text = Config(kSplit);
  for (const char* version : {"\"12\"", "\"r\"", "\"r1x\"", "12"}) {
    std::string broken = text;
    broken.replace(broken.find("\"r12\""), 5, version);
    EXPECT_FALSE(ReadRoutes(broken)) << broken;
  }
  EXPECT_FALSE(ReadRoutes(R"({"version":"r12"})"));
  EXPECT_FALSE(ReadRoutes(text.substr(0, text.size() / 2)));
  EXPECT_FALSE(ReadRoutes("[]"));
  EXPECT_FALSE(ReadRoutes(""));
}

std::string Nested(const std::string& open, const std::string& close) {
  constexpr int kLevels = 10'000;
  std::string text;
  for (int i = 0; i < kLevels; ++i) {
    text += open;
  }
  text += '1';
  for (int i = 0; i < kLevels; ++i) {
    text += close;
  }
  return text;
}

struct odd_part {
  const char* name;
  std::string value;
};

void PrintTo(const odd_part& part, std::ostream* out) {
  *out << part.name;
}

std::vector<odd_part> OddParts() {
  return {{"NestedLists", Nested("[", "]")},
          {"NestedObjects", Nested(R"({"a":)", "}")},
          {"ANumberOf400Digits", std::string(400, '9')},
          {"AnInfiniteNumber", "1e999"},
          {"ANumberBeyondAnyExponent", "1e99999999999"},
          {"TwoToThe64", "18446744073709551616"},
          {"ANegativeNumber", "-1"},
          {"BytesThatAreNoUtf8", "\"\xff\xfe\""},
          {"ANulByte", std::string("\"\0\"", 3)},
          {"AMegabyteOfText", '"' + std::string(1'000'000, 'a') + '"'},
          {"NotANumber", "NaN"},
          {"Null", "null"},
          {"Nothing", ""}};
}

// Many operators write one configuration.
class an_odd_entry_of_a_configuration
    : public testing::TestWithParam<odd_part> {
 protected:
  static std::optional<route_config> ReadWith(const std::string& entry) {
    return ReadRoutes(Config(entry + "," + kOther));
  }

  static void ExpectOtherIn(const std::optional<route_config>& read) {
    ASSERT_TRUE(read);
    ASSERT_FALSE(read->routes.empty());
    EXPECT_EQ(read->routes.back().name, class_name("r-2"));
    EXPECT_EQ(read->routes.back().timeout, 7s);
    ASSERT_FALSE(read->unread.empty());
    constexpr std::size_t kLongestNote = 64;
    for (const unread_field& unread : read->unread) {
      EXPECT_LE(unread.entry.size(), kLongestNote);
      EXPECT_LE(unread.value.size(), kLongestNote);
    }
  }
};

TEST_P(an_odd_entry_of_a_configuration, LeavesTheOthersInForce) {
  ExpectOtherIn(ReadWith(GetParam().value));
}

TEST_P(an_odd_entry_of_a_configuration, LosesOnlyTheFieldThatCannotBeRead) {
  const auto read =
      ReadWith(R"({"resourceType":"routes","metadata":{"name":"r-1"},"spec":)"
               R"({"host":"h.example","prefix":"/a/","kind":"idempotent",)"
               R"("service":"x","timeoutS":)" +
               GetParam().value + "}}");
  ExpectOtherIn(read);
  ASSERT_TRUE(read);
  ASSERT_EQ(read->routes.size(), 2U);
  EXPECT_EQ(read->routes[0].services.size(), 1U);
  EXPECT_EQ(read->unread[0].field, config_field::kRouteTimeout);
}

TEST_P(an_odd_entry_of_a_configuration, MayBeItsNameOrItsContent) {
  ExpectOtherIn(ReadWith(R"({"resourceType":"services","metadata":{"name":)" +
                         GetParam().value + R"(},"spec":{"healthPath":7}})"));
  ExpectOtherIn(
      ReadWith(R"({"resourceType":"routes","metadata":{"name":"r-1"},"spec":)" +
               GetParam().value + "}"));
}

// No request rate can be compared with an infinite one.
TEST_P(an_odd_entry_of_a_configuration, LimitsATenantByNoInfiniteRate) {
  const auto read =
      ReadWith(R"({"resourceType":"tenants","metadata":{"name":"t"},"spec":)"
               R"({"apiKeys":["k1"],"ratePerS":)" +
               GetParam().value + R"(,"burst":)" + GetParam().value + "}}");
  ASSERT_TRUE(read);
  ASSERT_EQ(read->tenants.size(), 1U);
  EXPECT_EQ(read->tenants[0].keys, std::vector{api_key("k1")});
  EXPECT_TRUE(std::isfinite(read->tenants[0].quota.rate.value()));
  EXPECT_TRUE(std::isfinite(read->tenants[0].quota.burst));
}

INSTANTIATE_TEST_SUITE_P(Every,
                         an_odd_entry_of_a_configuration,
                         testing::ValuesIn(OddParts()),
                         [](const auto& each) { return each.param.name; });

// A name that fits into no header ended the process at the first request that
// was sent on by it.
class a_name_of_another_writer : public testing::TestWithParam<odd_part> {
 protected:
  // As a node names them when it sends a request on.
  static void SendOn(const route_config& config) {
    for (const route& each : config.routes) {
      for (const weighted_service& part : each.services) {
        request_metadata metadata;
        metadata.request_class = each.name;
        metadata.service = part.service;
        for (const tenant_config& tenant : config.tenants) {
          metadata.tenant = tenant.name;
        }
        http::fields headers;
        WriteForwardedHeaders(headers, metadata,
                              {node_id(1), incarnation(1), attempt_id(1)},
                              incarnation(1));
        for (const auto& header : headers) {
          EXPECT_EQ(header.value().find_first_of(std::string_view("\r\n\0", 3)),
                    std::string_view::npos);
        }
      }
    }
  }
};

TEST_P(a_name_of_another_writer, IsInNoHeader) {
  const std::string name = '"' + GetParam().value + '"';
  const std::string route =
      R"({"resourceType":"routes","metadata":{"name":%N},"spec":{"host":"h",)"
      R"("prefix":"/a/","kind":"idempotent","timeoutS":5,"service":%S}})";
  const auto with = [&route](const std::string& route_name,
                             const std::string& service) {
    std::string entry = route;
    entry.replace(entry.find("%N"), 2, route_name);
    entry.replace(entry.find("%S"), 2, service);
    return entry;
  };
  const std::string tenant =
      R"({"resourceType":"tenants","metadata":{"name":)" + name +
      R"(},"spec":{"apiKeys":["k"]}})";
  for (const std::string& odd :
       {with(name, R"("x")"), with(R"("r-1")", name), tenant}) {
    const auto read = ReadRoutes(Config(odd + "," + kOther));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->routes.back().name, class_name("r-2"));
    EXPECT_FALSE(read->unread.empty());
    SendOn(*read);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Every,
    a_name_of_another_writer,
    testing::Values(odd_part{"OfAMegabyte", std::string(1'000'000, 'a')},
                    odd_part{"WithALineEnd", R"(a\r\nX-Not-Executed: 1)"},
                    odd_part{"WithANulByte", R"(a\u0000b)"}),
    [](const auto& each) { return each.param.name; });

class a_configuration_that_is_cut : public testing::Test {};

TEST_F(a_configuration_that_is_cut, IsNotReadInPart) {
  const std::string whole =
      Config(R"({"resourceType":1e99999999999},)" + std::string(kOther));
  ASSERT_TRUE(ReadRoutes(whole));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    EXPECT_FALSE(ReadRoutes(whole.substr(0, size))) << "first " << size;
  }
}

}  // namespace
}  // namespace auburnfold::platform
