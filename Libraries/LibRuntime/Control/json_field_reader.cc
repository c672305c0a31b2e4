#include "LibRuntime/Control/json_field_reader.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <chrono>

namespace auburnfold {

namespace json = boost::json;

namespace {

/// No node names a longer delay.
constexpr std::uint64_t kMaxDelayMs = 60'000;

}  // namespace

std::uint64_t json_field_reader::Number(std::string_view name,
                                        std::uint64_t max) {
  const json::value* found = Find(name);
  json::error_code error = json::error::not_number;
  const auto number =
      found != nullptr ? found->to_number<std::uint64_t>(error) : 0;
  is_valid_ = is_valid_ && !error && number <= max;
  return is_valid_ ? number : 0;
}

std::uint32_t json_field_reader::Count(std::string_view name) {
  return static_cast<std::uint32_t>(
      Number(name, std::numeric_limits<std::uint32_t>::max()));
}

duration json_field_reader::Delay(std::string_view name) {
  return std::chrono::milliseconds(Number(name, kMaxDelayMs));
}

bool json_field_reader::Flag(std::string_view name) {
  const json::value* found = Find(name);
  is_valid_ = is_valid_ && found != nullptr && found->is_bool();
  return is_valid_ && found->get_bool();
}

std::string json_field_reader::Text(std::string_view name) {
  const json::value* found = Find(name);
  is_valid_ = is_valid_ && found != nullptr && found->is_string();
  return is_valid_ ? std::string(found->get_string()) : "";
}

const json::array* json_field_reader::Array(std::string_view name) {
  const json::value* found = Find(name);
  return found != nullptr ? found->if_array() : nullptr;
}

const json::value* json_field_reader::Find(std::string_view name) const {
  return object_ != nullptr ? object_->if_contains(name) : nullptr;
}

json::value ParseJson(std::string_view text) {
  json::error_code error;
  json::value parsed = json::parse(text, error);
  return error ? json::value() : parsed;
}

std::uint64_t ToMillisecondsRoundedUp(duration value) {
  const auto whole =
      std::chrono::ceil<std::chrono::milliseconds>(value).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(whole, 0));
}

}  // namespace auburnfold
