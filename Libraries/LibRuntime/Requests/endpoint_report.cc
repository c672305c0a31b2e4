#include "LibRuntime/Requests/endpoint_report.h"

#include <boost/json/parse.hpp>
#include <boost/leaf/error.hpp>
#include <limits>

namespace auburnfold {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameLength = 64;

leaf::error_id Malformed(std::string_view reason) {
  return leaf::new_error(request_error{error_kind::kMalformedRequest, reason});
}

template <class number>
leaf::result<number> ReadNumber(const json::object& report,
                                std::string_view key,
                                number min,
                                std::string_view reason) {
  const json::value* found = report.if_contains(key);
  if (found == nullptr) {
    return Malformed(reason);
  }
  boost::system::error_code error;
  const number value = found->to_number<number>(error);
  if (error || value < min) {
    return Malformed(reason);
  }
  return value;
}

leaf::result<std::string> ReadText(const json::object& report,
                                   std::string_view key,
                                   std::string_view reason) {
  const json::value* found = report.if_contains(key);
  const json::string* text = found == nullptr ? nullptr : found->if_string();
  if (text == nullptr || text->empty() || text->size() > kMaxNameLength) {
    return Malformed(reason);
  }
  return std::string(text->begin(), text->end());
}

leaf::result<endpoint_state> ReadState(const json::object& report) {
  constexpr std::string_view kReason = "state must be ready or leaving";
  BOOST_LEAF_AUTO(text, ReadText(report, "state", kReason));
  if (text == "ready") {
    return endpoint_state::kReady;
  }
  if (text == "leaving") {
    return endpoint_state::kLeaving;
  }
  return Malformed(kReason);
}

leaf::result<void> ReadOptionalFields(const json::object& report,
                                      endpoint_reported& content) {
  if (report.contains("load")) {
    BOOST_LEAF_ASSIGN(content.load,
                      ReadNumber<double>(report, "load", 0,
                                         "load must be a share from 0 to 1"));
  }
  if (report.contains("connection_limit")) {
    BOOST_LEAF_ASSIGN(
        content.connection_limit,
        ReadNumber<std::uint32_t>(report, "connection_limit", 0,
                                  "connection_limit must be a count"));
  }
  const json::value* healthy = report.if_contains("healthy");
  if (healthy != nullptr) {
    if (!healthy->is_bool()) {
      return Malformed("healthy must be true or false");
    }
    content.is_healthy = healthy->get_bool();
  }
  return {};
}

}  // namespace

leaf::result<endpoint_report> ParseEndpointReport(std::string_view text) {
  boost::system::error_code error;
  const json::value parsed =
      json::parse(json::string_view(text.data(), text.size()), error);
  if (error || !parsed.is_object()) {
    return Malformed("the report must be a JSON object");
  }
  const json::object& object = parsed.get_object();
  endpoint_report report;
  BOOST_LEAF_AUTO(service,
                  ReadText(object, "service", "service must be a name"));
  report.content.service = service_name(std::move(service));
  BOOST_LEAF_ASSIGN(
      report.port,
      ReadNumber<std::uint16_t>(object, "port", 1, "port must be 1 to 65535"));
  BOOST_LEAF_AUTO(
      run, ReadNumber<std::uint64_t>(object, "run", 0, "run must be a number"));
  report.content.run = incarnation(run);
  BOOST_LEAF_ASSIGN(report.content.state, ReadState(object));
  BOOST_LEAF_CHECK(ReadOptionalFields(object, report.content));
  return report;
}

}  // namespace auburnfold
