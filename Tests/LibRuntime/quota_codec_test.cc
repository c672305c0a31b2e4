#include "LibRuntime/Control/quota_codec.h"

#include <gtest/gtest.h>

#include <string>

namespace auburnfold {
namespace {

using std::chrono::milliseconds;

TEST(a_quota_report, IsReadAsItWasWritten) {
  const quota_report report{node_id(~std::uint64_t{0}),
                            {{.tenant = tenant_name("a \"b\"\n"),
                              .admitted = 3,
                              .returned = 1,
                              .requested = 4'000'000'000,
                              .will_report_again = true},
                             {.tenant = tenant_name("c")}}};
  const auto read = DecodeQuotaReport(EncodeQuotaReport(report));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->from, report.from);
  EXPECT_EQ(read->usage, report.usage);
}

TEST(a_quota_report, MayHoldFieldsOfALaterVersion) {
  EXPECT_TRUE(DecodeQuotaReport(
      R"({"node":1,"later":[],"usage":[{"tenant":"a","admitted":1,)"
      R"("returned":0,"requested":0,"more":false,"later":{}}]})"));
}

TEST(a_quota_report, IsRefusedIfItIsMalformed) {
  for (const std::string text :
       {"", "nonsense", "[]", "{}", R"({"node":1})", R"({"usage":[]})",
        R"({"node":-1,"usage":[]})", R"({"node":1,"usage":{}})",
        R"({"node":1,"usage":[1]})", R"({"node":1,"usage":[{"tenant":"a"}]})",
        R"({"node":1,"usage":[{"tenant":1,"admitted":1,"returned":0,)"
        R"("requested":0,"more":false}]})",
        R"({"node":1,"usage":[{"tenant":"a","admitted":-1,"returned":0,)"
        R"("requested":0,"more":false}]})",
        R"({"node":1,"usage":[{"tenant":"a","admitted":1.5,"returned":0,)"
        R"("requested":0,"more":false}]})",
        R"({"node":1,"usage":[{"tenant":"a","admitted":4294967296,)"
        R"("returned":0,"requested":0,"more":false}]})",
        R"({"node":1,"usage":[{"tenant":"a","admitted":1,"returned":0,)"
        R"("requested":0,"more":1}]})"}) {
    EXPECT_FALSE(DecodeQuotaReport(text)) << text;
  }
}

TEST(a_quota_report, HoldsABoundedNumberOfTenants) {
  quota_report report{node_id(1), std::vector<quota_usage>(10'001)};
  EXPECT_FALSE(DecodeQuotaReport(EncodeQuotaReport(report)));
  report.usage.pop_back();
  EXPECT_TRUE(DecodeQuotaReport(EncodeQuotaReport(report)));
}

TEST(quota_grants, AreReadAsTheyWereWritten) {
  const std::vector<quota_grant> grants{{.tenant = tenant_name("a"),
                                         .granted = 7,
                                         .is_ample = true,
                                         .retry_after = milliseconds(0),
                                         .report_after = milliseconds(400)},
                                        {.tenant = tenant_name("b"),
                                         .retry_after = milliseconds(5000),
                                         .report_after = milliseconds(40)}};
  EXPECT_EQ(DecodeQuotaGrants(EncodeQuotaGrants(grants)), grants);
  EXPECT_EQ(DecodeQuotaGrants(EncodeQuotaGrants({})),
            std::vector<quota_grant>());
}

// A delay is never shortened to zero, which would mean that the next request is
// granted now.
TEST(quota_grants, RoundDelaysUp) {
  const auto read = DecodeQuotaGrants(
      EncodeQuotaGrants({{.retry_after = std::chrono::microseconds(10)}}));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->front().retry_after, milliseconds(1));
}

TEST(quota_grants, AreRefusedIfTheyAreMalformed) {
  for (const std::string text :
       {"", "{}", "[]", R"({"grants":1})", R"({"grants":[{}]})",
        R"({"grants":[{"tenant":"a","granted":1,"ample":"yes",)"
        R"("retryAfterMs":0,"reportAfterMs":40}]})",
        R"({"grants":[{"tenant":"a","granted":1,"ample":true,)"
        R"("retryAfterMs":99999999999999,"reportAfterMs":40}]})"}) {
    EXPECT_FALSE(DecodeQuotaGrants(text)) << text;
  }
}

}  // namespace
}  // namespace auburnfold
