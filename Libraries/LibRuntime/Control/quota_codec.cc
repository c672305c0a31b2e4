#include "LibRuntime/Control/quota_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

namespace auburnfold {

namespace json = boost::json;

namespace {

/// Far more than a node owns; bounds the work for one message.
constexpr std::size_t kMaxTenants = 10'000;
/// No owner asks for a longer delay.
constexpr std::uint64_t kMaxDelayMs = 60'000;

std::uint64_t ToMilliseconds(duration value) {
  const auto whole =
      std::chrono::ceil<std::chrono::milliseconds>(value).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0));
}

/// Reads the fields of one JSON object, and remembers whether one was missing
/// or of the wrong kind.
class field_reader {
 public:
  explicit field_reader(const json::value& value)
      : object_(value.if_object()) {}

  std::uint64_t Number(std::string_view name, std::uint64_t max) {
    const json::value* found = Find(name);
    json::error_code error = json::error::not_number;
    const auto number =
        found != nullptr ? found->to_number<std::uint64_t>(error) : 0;
    is_valid_ = is_valid_ && !error && number <= max;
    return is_valid_ ? number : 0;
  }

  std::uint32_t Count(std::string_view name) {
    return static_cast<std::uint32_t>(
        Number(name, std::numeric_limits<std::uint32_t>::max()));
  }

  duration Delay(std::string_view name) {
    return std::chrono::milliseconds(Number(name, kMaxDelayMs));
  }

  bool Flag(std::string_view name) {
    const json::value* found = Find(name);
    is_valid_ = is_valid_ && found != nullptr && found->is_bool();
    return is_valid_ && found->get_bool();
  }

  tenant_name Tenant() {
    const json::value* found = Find("tenant");
    is_valid_ = is_valid_ && found != nullptr && found->is_string();
    return tenant_name(is_valid_ ? std::string(found->get_string()) : "");
  }

  const json::array* Array(std::string_view name) {
    const json::value* found = Find(name);
    return found != nullptr ? found->if_array() : nullptr;
  }

  bool is_valid() const { return is_valid_ && object_ != nullptr; }

 private:
  const json::value* Find(std::string_view name) const {
    return object_ != nullptr ? object_->if_contains(name) : nullptr;
  }

  const json::object* object_;
  bool is_valid_ = true;
};

quota_usage ReadUsage(field_reader& fields) {
  return {.tenant = fields.Tenant(),
          .admitted = fields.Count("admitted"),
          .returned = fields.Count("returned"),
          .requested = fields.Count("requested"),
          .will_report_again = fields.Flag("more")};
}

quota_grant ReadGrant(field_reader& fields) {
  return {.tenant = fields.Tenant(),
          .granted = fields.Count("granted"),
          .is_ample = fields.Flag("ample"),
          .retry_after = fields.Delay("retryAfterMs"),
          .report_after = fields.Delay("reportAfterMs")};
}

template <class item>
std::optional<std::vector<item>> ReadAll(const json::array* array,
                                         item (*read)(field_reader&)) {
  if (array == nullptr || array->size() > kMaxTenants) {
    return std::nullopt;
  }
  std::vector<item> items;
  for (const json::value& value : *array) {
    field_reader fields(value);
    items.push_back(read(fields));
    if (!fields.is_valid()) {
      return std::nullopt;
    }
  }
  return items;
}

json::value Parse(std::string_view text) {
  json::error_code error;
  json::value parsed = json::parse(text, error);
  return error ? json::value() : parsed;
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
    granted.push_back(
        json::object{{"tenant", grant.tenant.value()},
                     {"granted", grant.granted},
                     {"ample", grant.is_ample},
                     {"retryAfterMs", ToMilliseconds(grant.retry_after)},
                     {"reportAfterMs", ToMilliseconds(grant.report_after)}});
  }
  return json::serialize(json::object{{"grants", std::move(granted)}});
}

std::optional<quota_report> DecodeQuotaReport(std::string_view text) {
  const json::value parsed = Parse(text);
  field_reader fields(parsed);
  const node_id from(
      fields.Number("node", std::numeric_limits<std::uint64_t>::max()));
  auto usage = ReadAll(fields.Array("usage"), ReadUsage);
  if (!fields.is_valid() || !usage) {
    return std::nullopt;
  }
  return quota_report{from, *std::move(usage)};
}

std::optional<std::vector<quota_grant>> DecodeQuotaGrants(
    std::string_view text) {
  const json::value parsed = Parse(text);
  field_reader fields(parsed);
  return ReadAll(fields.Array("grants"), ReadGrant);
}

}  // namespace auburnfold
