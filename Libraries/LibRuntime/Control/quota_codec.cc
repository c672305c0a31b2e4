#include "LibRuntime/Control/quota_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

#include "LibRuntime/Control/json_field_reader.h"

namespace auburnfold {

namespace json = boost::json;

namespace {

/// Far more than a node owns; bounds the work for one message.
constexpr std::size_t kMaxTenants = 10'000;

quota_usage ReadUsage(json_field_reader& fields) {
  return {.tenant = tenant_name(fields.Text("tenant")),
          .admitted = fields.Count("admitted"),
          .returned = fields.Count("returned"),
          .requested = fields.Count("requested"),
          .will_report_again = fields.Flag("more")};
}

quota_grant ReadGrant(json_field_reader& fields) {
  return {.tenant = tenant_name(fields.Text("tenant")),
          .granted = fields.Count("granted"),
          .is_ample = fields.Flag("ample"),
          .retry_after = fields.Delay("retryAfterMs"),
          .report_after = fields.Delay("reportAfterMs")};
}

}  // namespace

std::string EncodeQuotaReport(const quota_report& report) {
  json::array usage;
  for (const quota_usage& used : report.usage) {
    usage.push_back(json::object{{"tenant", used.tenant.value()},
                                 {"admitted", used.admitted},
                                 {"returned", used.returned},
                                 {"requested", used.requested},
                                 {"more", used.will_report_again}});
  }
  return json::serialize(
      json::object{{"node", report.from.value()}, {"usage", std::move(usage)}});
}

std::string EncodeQuotaGrants(const std::vector<quota_grant>& grants) {
  json::array granted;
  for (const quota_grant& grant : grants) {
    granted.push_back(json::object{
        {"tenant", grant.tenant.value()},
        {"granted", grant.granted},
        {"ample", grant.is_ample},
        {"retryAfterMs", ToMillisecondsRoundedUp(grant.retry_after)},
        {"reportAfterMs", ToMillisecondsRoundedUp(grant.report_after)}});
  }
  return json::serialize(json::object{{"grants", std::move(granted)}});
}

std::optional<quota_report> DecodeQuotaReport(std::string_view text) {
  const json::value parsed = ParseJson(text);
  json_field_reader fields(parsed);
  const node_id from(
      fields.Number("node", std::numeric_limits<std::uint64_t>::max()));
  auto usage = ReadAll(fields.Array("usage"), kMaxTenants, ReadUsage);
  if (!fields.is_valid() || !usage) {
    return std::nullopt;
  }
  return quota_report{from, *std::move(usage)};
}

std::optional<std::vector<quota_grant>> DecodeQuotaGrants(
    std::string_view text) {
  const json::value parsed = ParseJson(text);
  json_field_reader fields(parsed);
  return ReadAll(fields.Array("grants"), kMaxTenants, ReadGrant);
}

}  // namespace auburnfold
