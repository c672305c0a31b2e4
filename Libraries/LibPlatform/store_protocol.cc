#include "LibPlatform/store_protocol.h"

#include <boost/json.hpp>
#include <boost/url.hpp>
#include <optional>
#include <variant>

namespace auburnfold {

namespace {

namespace json = boost::json;

constexpr std::uint16_t kHttpOk = 200;
constexpr std::uint16_t kHttpConflict = 409;
constexpr std::uint16_t kHttpFirstClientError = 400;
constexpr std::uint16_t kHttpFirstServerError = 500;

std::string Encode(std::string_view text) {
  return boost::urls::encode(text, boost::urls::unreserved_chars);
}

struct request_writer {
  store_http_request operator()(const store_get& get) const {
    return {.target = "/v1/kv?key=" + Encode(get.key)};
  }

  store_http_request operator()(const store_list& list) const {
    return {.target = "/v1/kv?prefix=" + Encode(list.prefix)};
  }

  store_http_request operator()(const store_compare_and_swap& write) const {
    return {.is_put = true,
            .target = "/v1/kv?key=" + Encode(write.key) +
                      "&expected=" + std::to_string(write.expected.value()),
            .body = write.value};
  }

  store_http_request operator()(const store_watch& watch) const {
    return {.target = "/v1/watch?prefix=" + Encode(watch.prefix) +
                      "&after=" + std::to_string(watch.after.value())};
  }
};

std::optional<std::uint64_t> ReadNumber(const json::object& object,
                                        std::string_view name) {
  const json::value* value = object.if_contains(name);
  if (value == nullptr) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return number;
}

std::optional<store_entry> ReadEntry(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const json::value* key = object->if_contains("key");
  const json::value* content = object->if_contains("value");
  const auto revision = ReadNumber(*object, "revision");
  if (key == nullptr || !key->is_string() || content == nullptr ||
      !content->is_string() || !revision) {
    return std::nullopt;
  }
  return store_entry{json::value_to<std::string>(*key),
                     json::value_to<std::string>(*content),
                     store_revision(*revision)};
}

bool ReadEntries(const json::value& body, store_result& result) {
  const json::object* object = body.if_object();
  if (object == nullptr) {
    return false;
  }
  const json::value* listed = object->if_contains("entries");
  if (listed == nullptr) {
    const auto single = ReadEntry(body);
    if (single) {
      result.entries.push_back(*single);
    }
    return single.has_value();
  }
  if (!listed->is_array()) {
    return false;
  }
  for (const json::value& each : listed->get_array()) {
    const auto entry = ReadEntry(each);
    if (!entry) {
      return false;
    }
    result.entries.push_back(*entry);
  }
  return true;
}

bool ReadBody(std::string_view text, store_result& result) {
  json::error_code error;
  const json::value body = json::parse(text, error);
  if (error || !ReadEntries(body, result)) {
    return false;
  }
  const auto revision = ReadNumber(body.get_object(), "revision");
  if (revision) {
    result.revision = store_revision(*revision);
  }
  return true;
}

}  // namespace

store_http_request ToHttp(const store_request& request) {
  return std::visit(request_writer{}, request);
}

bool IsWrite(const store_request& request) {
  return std::holds_alternative<store_compare_and_swap>(request);
}

store_result LostAnswerTo(const store_request& request) {
  return {.status = IsWrite(request) ? store_status::kUnknown
                                     : store_status::kUnavailable};
}

store_result FromHttp(const store_request& request,
                      std::uint16_t http_status,
                      std::string_view body) {
  const bool is_conflict = IsWrite(request) && http_status == kHttpConflict;
  if (http_status == kHttpOk || is_conflict) {
    store_result result;
    result.status = is_conflict ? store_status::kConflict : store_status::kDone;
    return ReadBody(body, result) ? result : LostAnswerTo(request);
  }
  const bool is_refused = http_status >= kHttpFirstClientError &&
                          http_status < kHttpFirstServerError;
  if (is_refused) {
    return {.status = store_status::kUnavailable};
  }
  return LostAnswerTo(request);
}

}  // namespace auburnfold
