#include "LibRuntime/Connections/long_fields.h"

#include <algorithm>
#include <cstddef>

namespace auburnfold {

namespace {

// Below what a Beast field holds of a name or a value.
constexpr std::size_t kMaxPartBytes = std::size_t{60} * 1024;
// Neither a name nor a value that was received begins with a line feed.
constexpr char kContinuation = '\n';
// The name of fields whose value is a whole line, because their own name is too
// long.
constexpr std::string_view kWholeLine = "\n";
constexpr std::string_view kWhiteSpace = " \t";
constexpr std::string_view kSeparator = ": ";
constexpr std::string_view kLineEnd = "\r\n";

// Beast trims values, so a part must not end with white space. Returns 0 if
// there is no other end.
std::size_t LengthOfNextPart(std::string_view value) {
  if (value.size() <= kMaxPartBytes) {
    return value.size();
  }
  return value.find_last_not_of(kWhiteSpace, kMaxPartBytes - 1) + 1;
}

bool IsContinuation(std::string_view value) {
  return !value.empty() && value.front() == kContinuation;
}

}  // namespace

// Fields of the same name stay together in their order.
bool InsertField(http::fields& fields,
                 http::field field,
                 std::string_view name,
                 std::string_view value) {
  if (name.size() > kMaxPartBytes) {
    std::string line(name);
    line.append(kSeparator).append(value);
    return InsertField(fields, http::field::unknown, kWholeLine, line);
  }
  if (value.size() <= kMaxPartBytes) {
    fields.insert(field, name, value);
    return true;
  }
  std::string part;
  while (!value.empty()) {
    const std::size_t length = LengthOfNextPart(value);
    if (length == 0) {
      return false;
    }
    part.append(value.substr(0, length));
    fields.insert(field, name, part);
    value.remove_prefix(length);
    part = kContinuation;
  }
  return true;
}

std::string FormatHeader(const http_request_view& request) {
  std::string text(request.method_string());
  text.append(" ").append(request.target()).append(" HTTP/1.1");
  for (const auto& field : request) {
    const std::string_view value = field.value();
    if (IsContinuation(value)) {
      text.append(value.substr(1));
      continue;
    }
    text.append(kLineEnd);
    if (field.name_string() != kWholeLine) {
      text.append(field.name_string()).append(kSeparator);
    }
    text.append(value);
  }
  text.append(kLineEnd).append(kLineEnd);
  return text;
}

}  // namespace auburnfold
